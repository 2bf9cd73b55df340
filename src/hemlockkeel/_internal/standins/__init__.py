"""Simulated engines, weight stores and plain services (stand-ins)."""
