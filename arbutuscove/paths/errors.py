"""Errors of paths to upstreams."""

from arbutuscove.storage import http


class NoPathError(http.NotSentError):
    """No path leads to the upstream, which says nothing of the upstream."""


class UnreachedError(NoPathError):
    """After a search, no path leads to any upstream of the service."""
