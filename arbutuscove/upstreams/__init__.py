"""Clients of upstreams: model engines and plain services."""
