"""Versioned configuration of routes, services and limits."""
