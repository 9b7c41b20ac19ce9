"""Distributes the configuration from voters through relays to followers. No I/O: events in, actions out."""
