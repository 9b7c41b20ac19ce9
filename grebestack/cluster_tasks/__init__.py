"""Tasks that one member performs for the cluster under a lease. No I/O: events in, actions out."""
