"""The shell of a fleet's member: disk, connections, clock. It decides nothing; `grebestack.consensus` does."""
