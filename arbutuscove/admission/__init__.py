"""Admission: the order of waiting requests, and refusals."""
