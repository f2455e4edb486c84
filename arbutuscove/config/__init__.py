"""Service configuration: immutable versions and one total order of changes."""
