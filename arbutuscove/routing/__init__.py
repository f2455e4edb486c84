"""Routing: which replica takes a request."""
