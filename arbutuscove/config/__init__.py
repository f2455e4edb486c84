"""Configuration: immutable service versions in one order of changes."""
