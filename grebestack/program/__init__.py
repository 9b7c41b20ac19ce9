"""The program: configuration, logging, signals and wiring."""
