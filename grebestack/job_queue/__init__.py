"""The job queue: decides which job is released to the engine next, and when; no I/O, no clock, no threads."""
