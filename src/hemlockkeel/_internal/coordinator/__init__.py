"""Control members that store routes, adapter versions and target records."""
