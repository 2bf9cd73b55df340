"""Connections between hemlockkeel's own processes."""
