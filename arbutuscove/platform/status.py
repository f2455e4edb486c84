"""Pages that a daemon answers itself: readiness, addresses, metrics.

The platform and the callers' look-ups ask for them at addresses of their own.
At the address for callers all paths belong to the routes, so that these pages
are not served there. If the settings give both the same address, a request
for a host of the configuration is a caller's.
"""

import dataclasses
import enum
import http.client
import typing
import urllib.parse
from collections import abc

import msgspec

from arbutuscove.storage import http as storage_http

JSON_TYPE = "application/json"
PAGE_METHODS = ("GET", "HEAD")

StartResponse = abc.Callable[[str, list[tuple[str, str]]], typing.Any]


class Part(enum.Enum):
    """What a daemon serves at one of its addresses."""

    CALLERS = "callers"
    READINESS = "readiness"
    DIRECTORY = "directory"


class Page(enum.Enum):
    """A page that the daemon answers itself."""

    READY = "/ready"
    RESOLVE = "/resolve"
    METRICS = "/metrics"


_PAGES_BY_PART = {
    Part.CALLERS: frozenset[Page](),
    Part.READINESS: frozenset((Page.READY, Page.METRICS)),
    Part.DIRECTORY: frozenset((Page.RESOLVE, Page.METRICS)),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """The addresses of a daemon; None for what it does not serve."""

    callers: storage_http.Address | None = None
    readiness: storage_http.Address | None = None
    directory: storage_http.Address | None = None

    def collect_parts(self) -> dict[storage_http.Address, frozenset[Part]]:
        """Returns what is served at each address.

        Example:
            >>> address = storage_http.Address("10.0.0.1", 80)
            >>> Addresses(readiness=address).collect_parts()[address]
            frozenset({<Part.READINESS: 'readiness'>})
        """
        parts: dict[storage_http.Address, frozenset[Part]] = {}
        for address, part in (
            (self.callers, Part.CALLERS),
            (self.readiness, Part.READINESS),
            (self.directory, Part.DIRECTORY),
        ):
            if address is not None:
                parts[address] = parts.get(address, frozenset()) | {part}
        return parts


def find_page(
    parts: abc.Collection[Part], path: str, is_configured_host: bool
) -> Page | None:
    """Returns the page that a request asks for, None if it asks for none.

    Args:
        parts: what is served at the address of the request.
        path: path of the request.
        is_configured_host: whether the configuration has routes of its host.

    Example:
        >>> find_page([Part.CALLERS], "/ready", False)
        >>> find_page([Part.CALLERS, Part.READINESS], "/ready", False)
        <Page.READY: '/ready'>
        >>> find_page([Part.CALLERS, Part.READINESS], "/ready", True)
    """
    if Part.CALLERS in parts and is_configured_host:
        return None
    for part in parts:
        for page in _PAGES_BY_PART[part]:
            if page.value == path:
                return page
    return None


def read_failure_domain(target: str) -> str:
    """Returns the caller's failure domain in the target of a look-up."""
    query = urllib.parse.parse_qs(target.partition("?")[2])
    return query.get("zone", [""])[0]


def send(
    start_response: StartResponse,
    status: int,
    body: bytes,
    fields: abc.Iterable[tuple[str, str]],
    method: str = "GET",
) -> abc.Iterable[bytes]:
    """Sends the head of an answer and returns its body, none to a HEAD."""
    start_response(
        format_status(status),
        [("Content-Length", str(len(body))), *fields],
    )
    return [] if method == "HEAD" else [body]


def send_json(
    start_response: StartResponse,
    status: int,
    body: dict[str, typing.Any],
    fields: abc.Iterable[tuple[str, str]] = (),
    method: str = "GET",
) -> abc.Iterable[bytes]:
    """Sends an answer with a JSON document; see `send`."""
    return send(
        start_response,
        status,
        msgspec.json.encode(body),
        [("Content-Type", JSON_TYPE), *fields],
        method,
    )


def format_status(status: int) -> str:
    """Returns a status line's code and reason.

    Example:
        >>> format_status(404)
        '404 Not Found'
    """
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
