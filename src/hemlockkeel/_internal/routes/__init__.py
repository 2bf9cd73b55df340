"""Routes: which requests go to which service, under one version."""
