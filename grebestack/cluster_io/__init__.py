"""The cluster's disk, connections and clock. The decisions are made in the pure packages."""
