"""Consensus of dispatchers: registers that a quorum keeps, membership epochs, leases. Pure."""
