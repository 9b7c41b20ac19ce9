"""The audit log: which dispatcher did what under which versions, and the report merged from many. Pure."""
