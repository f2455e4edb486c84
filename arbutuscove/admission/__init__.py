"""Admission: which request goes next, and which is refused."""
