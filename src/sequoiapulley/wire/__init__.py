"""Sockets: one poller for all client connections, and an HTTP/1.1 client on it."""
