"""Replicated log of the control members, an implementation of Raft."""
