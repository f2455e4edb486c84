"""Soak test: runs real daemons under random faults (`bin/soak --help`)."""
