"""Measurements of the product; none of them asserts a wall time."""
