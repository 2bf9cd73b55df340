"""Forwards requests byte for byte to targets, and their answers back."""
