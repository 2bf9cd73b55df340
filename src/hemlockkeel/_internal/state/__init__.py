"""Replicated state machine: configuration, members, request records."""
