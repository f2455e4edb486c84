"""Membership: this daemon's view of its peers, a hint and not authoritative."""
