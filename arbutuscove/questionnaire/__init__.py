"""Checks a team's answers and generates a service configuration from them."""
