"""Message channel between processes, HTTP server, and pool of HTTP client connections."""
