"""The protocols of clients, workers, discovery and settings."""
