"""Filter chain that every request passes through."""
