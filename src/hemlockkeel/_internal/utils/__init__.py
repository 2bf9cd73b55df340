"""One-purpose helper modules."""
