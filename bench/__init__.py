"""Benchmarks that read real time; run by bin/bench, not by the tests."""
