"""Routes, services and client accounts of one configuration version."""
