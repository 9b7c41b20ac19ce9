"""Golden files: the bytes and texts that every later version must still write and read."""
