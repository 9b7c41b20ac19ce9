"""The decision module: pure decisions, which know no wire."""
