"""Consul as a source of workers: blocking queries, choice of the agent, and reading of service instances."""
