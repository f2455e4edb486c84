"""Random faults against the real programs; see `bin/soak --help`."""
