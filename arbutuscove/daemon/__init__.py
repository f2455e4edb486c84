"""The daemon: settings, assembly of its services, and command line."""
