"""The daemon: settings, assembly of its services, and its life."""
