"""Leases on control duties, with epochs as fencing tokens."""
