"""Tasks that one member does for the cluster under a lease. Pure: events in, actions out."""
