"""The control role: a Raft member with leases, load permits and admin API."""
