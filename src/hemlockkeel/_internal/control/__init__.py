"""The control role: quorum member, leases, permits, operators."""
