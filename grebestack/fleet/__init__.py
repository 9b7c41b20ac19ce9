"""The configuration on its way to all dispatchers, and tasks under leases. Pure."""
