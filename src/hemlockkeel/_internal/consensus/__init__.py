"""Replicated log of the control instances."""
