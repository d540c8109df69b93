"""Non-blocking sockets: an epoll reactor, and an HTTP/1.1 client and server on it."""
