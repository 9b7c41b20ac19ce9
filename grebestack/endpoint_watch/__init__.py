"""The watch of a source's endpoint list, as a state machine. Knows neither sockets nor the list's format."""
