"""Hot restart: a new process takes over from the serving one. State machine, messages and channel."""
