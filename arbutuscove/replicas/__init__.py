"""Formation and repair of replicas, and the list of serving replicas."""
