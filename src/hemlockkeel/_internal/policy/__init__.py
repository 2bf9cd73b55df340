"""Policies for admission, routing, scheduling, loads and evictions."""
