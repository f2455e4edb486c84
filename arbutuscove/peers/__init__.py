"""gRPC transport between daemons."""
