"""Micro-kernel: a registry of named services and their life cycle."""
