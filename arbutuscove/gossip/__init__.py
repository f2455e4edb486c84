"""Heartbeats between daemons, sent as datagrams."""
