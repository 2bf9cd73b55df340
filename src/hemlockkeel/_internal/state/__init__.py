"""Replicated state machine: configuration, members, records."""
