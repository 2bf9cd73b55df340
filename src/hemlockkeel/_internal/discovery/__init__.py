"""Service discovery: targets as they announce themselves."""
