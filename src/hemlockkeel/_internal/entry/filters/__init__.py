"""Filters that check and complete each request before it is routed."""
