"""Client of the control role in entries and agents: lease and view.

A follower here is a process that follows the view, not a Raft follower.
"""
