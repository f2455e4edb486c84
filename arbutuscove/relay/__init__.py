"""Handling of one request from acceptance to the end of its answer."""
