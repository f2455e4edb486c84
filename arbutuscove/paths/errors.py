"""Errors of paths to upstreams."""

from arbutuscove.storage import http


class NoPathError(http.NotSentError):
    """No path leads to the upstream, which says nothing of the upstream."""
