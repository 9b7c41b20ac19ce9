"""Consensus between dispatchers: replicated registers, membership epochs and leases. No I/O, no clock."""
