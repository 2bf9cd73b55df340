"""Randomised tests of the real programs under injected faults."""
