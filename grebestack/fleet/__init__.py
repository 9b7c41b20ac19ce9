"""Dispatchers that agree: registers kept by a majority, and leases on them. Pure: events in, actions out."""
