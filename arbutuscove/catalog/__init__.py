"""Routes, client accounts and services of one configuration version."""
