"""Data types shared by all roles."""
