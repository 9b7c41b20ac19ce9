"""Golden files, which fix the bytes and decisions that later versions must reproduce, and their writers."""
