"""Targets as they announce themselves."""
