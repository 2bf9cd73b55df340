"""Argument parsing and exit codes of the two programs."""
