"""Recorded decision streams, and the simulation that records them."""
