"""Token budgets of services, allocated to daemons in slices."""
