"""Life of a request: claims, attempts, whole answers, resumption."""
