"""Signed tokens with which any daemon continues an engine stream."""

import dataclasses

import itsdangerous
import msgspec

SALT = "arbutuscove.resume"
MAX_AGE = 3600  # seconds; engines keep streams for much less


class ResumeRefusedError(Exception):
    """The token is not ours, is too old or belongs to another request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumePoint:
    """Where a stream runs and whose it is."""

    service: str
    replica: str
    generation: int
    address: str
    stream: str
    account: str
    digest: str


class ResumeTokens:
    """Issues and checks tokens; all daemons share the secret."""

    def __init__(self, secret: str) -> None:
        self._serializer = itsdangerous.URLSafeTimedSerializer(
            secret, salt=SALT
        )

    def issue(self, point: ResumePoint) -> str:
        """Returns the token of a stream."""
        return str(self._serializer.dumps(msgspec.to_builtins(point)))

    def verify(self, token: str, account: str, digest: str) -> ResumePoint:
        """Returns where to resume.

        Raises:
            ResumeRefusedError: not ours, too old, or of another request.
        """
        try:
            loaded = self._serializer.loads(token, max_age=MAX_AGE)
        except itsdangerous.BadData as error:
            raise ResumeRefusedError("invalid resume token") from error
        point = msgspec.convert(loaded, ResumePoint)
        if (point.account, point.digest) != (account, digest):
            raise ResumeRefusedError("resume token of another request")
        return point
