"""Hot restart: a new process takes over from the one that serves. State machine, messages and channel."""
