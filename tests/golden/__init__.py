"""Golden files that hold later versions to the bytes and decisions of an earlier one, and their writers."""
