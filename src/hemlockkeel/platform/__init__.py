"""Translates the users' platform: names, formats and calls.

Nothing here decides anything, and nothing outside knows the names in here.
"""
