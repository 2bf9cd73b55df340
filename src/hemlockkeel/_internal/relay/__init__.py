"""Reverse proxy in front of targets; message bodies pass unchanged."""
