"""Orders to engines: which adapters a target holds."""
