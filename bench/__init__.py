"""Benchmarks and measurements; run as `python -m bench.<name>`."""
