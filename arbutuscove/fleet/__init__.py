"""VMs of the users' platform and the replica groups formed of them."""
