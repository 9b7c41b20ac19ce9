"""The asyncio and disk side of the cluster: files, connections, clock. It decides nothing."""
