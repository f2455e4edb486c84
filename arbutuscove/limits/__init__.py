"""Limits on spend, shared by all daemons through slices."""
