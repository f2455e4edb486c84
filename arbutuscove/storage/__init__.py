"""Adapters to the platform: table service, object store, VM list."""
