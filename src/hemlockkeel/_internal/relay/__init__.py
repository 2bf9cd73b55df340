"""Reverse proxy that forwards requests and responses unchanged."""
