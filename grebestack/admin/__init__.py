"""The admin interface: one command line in, one response line out. Independent of the engine and of HTTP."""
