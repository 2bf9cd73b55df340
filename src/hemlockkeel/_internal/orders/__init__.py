"""Agents that load and unload adapters at an engine by sending it orders."""
