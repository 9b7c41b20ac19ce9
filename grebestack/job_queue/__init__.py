"""The waiting room: which job is let into the engine next, and when. Pure: no I/O, no clock, no threads."""
