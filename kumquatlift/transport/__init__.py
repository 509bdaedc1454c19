"""Connections between entry processes, and the HTTP server and client parts on top of sockets."""
