"""The admin interface for operators: one line in, one line out. Knows neither the engine nor HTTP."""
