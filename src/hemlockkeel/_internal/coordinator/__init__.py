"""Control members that keep routes, versions and announced targets."""
