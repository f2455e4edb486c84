"""Audit trail of changes and of decisions with lasting effect."""
