"""Paths from this daemon to the upstreams, directly or through a peer."""
