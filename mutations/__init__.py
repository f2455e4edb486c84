"""Patches that each remove one mechanism, and the test that must then fail."""
