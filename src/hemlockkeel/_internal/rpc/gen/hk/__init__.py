__all__ = ['ttypes', 'constants', 'Agent', 'Control']
