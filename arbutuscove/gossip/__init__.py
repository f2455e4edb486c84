"""Datagrams by which daemons know of each other."""
