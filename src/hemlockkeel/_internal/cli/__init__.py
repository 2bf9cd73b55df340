"""Command-line interfaces and exit codes of the installed programs."""
