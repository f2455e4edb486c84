"""HTTP client connections with one request and one response per exchange."""
