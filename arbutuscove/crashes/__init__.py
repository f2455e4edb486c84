"""Recognition of requests, and of parts of prompts, that crash upstreams."""
