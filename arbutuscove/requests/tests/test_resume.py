"""Guards against access to the stream of another client."""

import dataclasses

import pytest

from arbutuscove.requests import claims
from arbutuscove.requests import resume

POINT = resume.ResumePoint(
    service="bids",
    replica="r",
    generation=1,
    address="127.0.0.1:1",
    stream="s",
    account=claims.qualify_account("bids", "desk"),
    digest="d",
)


def test_resume_at_another_daemon_finds_the_stream():
    """If the issuing daemon is down, any other daemon must accept the token."""
    token = resume.ResumeTokens("secret").issue(POINT)
    other = resume.ResumeTokens("secret")
    assert other.verify(token, POINT.account, POINT.digest) == POINT


@pytest.mark.parametrize(
    ("account", "digest"),
    [
        (claims.qualify_account("bids", "rival"), "d"),
        (claims.qualify_account("chat", "desk"), "d"),
        (claims.qualify_account("bids", "desk"), "other"),
    ],
    ids=["other account", "same name in other service", "other request"],
)
def test_resume_of_another_client_is_refused(account, digest):
    """A token must be valid only for its own request and account."""
    tokens = resume.ResumeTokens("secret")
    with pytest.raises(resume.ResumeRefusedError):
        tokens.verify(tokens.issue(POINT), account, digest)


def test_resume_token_of_another_secret_is_refused():
    """A forged token must not connect a daemon to the address it names."""
    forged = resume.ResumeTokens("guess").issue(
        dataclasses.replace(POINT, address="10.0.0.1:1")
    )
    with pytest.raises(resume.ResumeRefusedError):
        resume.ResumeTokens("secret").verify(forged, POINT.account, "d")
