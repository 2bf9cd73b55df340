"""Clocks, digests, HTTP, logging and metrics, used by all roles."""
