"""Messages between nodes over grpc."""
