"""HTTP connections of which each byte sent and received is accounted for."""
