"""The path of one request through this daemon."""
