"""The agent role: the process beside each target."""
