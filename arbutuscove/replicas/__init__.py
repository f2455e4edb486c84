"""Replicas: which VMs form which replica, and which replicas serve."""
