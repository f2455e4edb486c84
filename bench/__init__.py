"""Measurements of the product, each run as a module."""
