"""Message transport between nodes over gRPC."""
