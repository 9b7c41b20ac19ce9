"""HTTP/1.1 over asyncio: client connections with their pools, and the server."""
