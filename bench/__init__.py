"""Measurements of the decision code; not part of the daemon."""
