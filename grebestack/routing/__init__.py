"""The engine executes what the decision module decides; it does not depend on any protocol."""
