"""Signed tokens that let any daemon resume an engine stream."""

import dataclasses

import itsdangerous
import msgspec

SALT = "arbutuscove.resume"
MAX_AGE_SECONDS = 3600  # engines keep streams for a much shorter time


class ResumeRefusedError(Exception):
    """The token is forged, expired or belongs to another request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumePoint:
    """Location of a stream, and the account and request that own it."""

    service: str
    replica: str
    generation: int
    address: str
    stream: str
    account: str
    digest: str


class ResumeTokens:
    """Issues and verifies tokens; all daemons share the secret."""

    def __init__(self, secret: str) -> None:
        self._serializer = itsdangerous.URLSafeTimedSerializer(
            secret, salt=SALT
        )

    def issue(self, point: ResumePoint) -> str:
        """Returns a signed token for a stream."""
        return str(self._serializer.dumps(msgspec.to_builtins(point)))

    def verify(self, token: str, account: str, digest: str) -> ResumePoint:
        """Returns the resume point in a token.

        Args:
            token: the token as received.
            account: account of the caller, qualified by its service.
            digest: digest of the request.

        Raises:
            ResumeRefusedError: the token is forged or expired, or belongs to
                another request.
        """
        try:
            loaded = self._serializer.loads(token, max_age=MAX_AGE_SECONDS)
        except itsdangerous.BadData as error:
            raise ResumeRefusedError("invalid resume token") from error
        point = msgspec.convert(loaded, ResumePoint)
        if (point.account, point.digest) != (account, digest):
            raise ResumeRefusedError("resume token of another request")
        return point
