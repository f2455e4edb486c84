"""Routing: the choice of a replica for each request."""
