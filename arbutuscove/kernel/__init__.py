"""Micro-kernel: registry and life cycle of named services."""
