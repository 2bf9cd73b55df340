"""The agent role: a process next to each target that runs work on it."""
