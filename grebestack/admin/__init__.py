"""The operators' door: one line in, one line out. Knows neither the engine nor HTTP."""
