"""A state machine for the watch of an endpoint list, without sockets and without the list's format."""
