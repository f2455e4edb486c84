"""Guards against a stream that another client takes over."""

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
    """The caller's daemon may be gone; any other must continue."""
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
    """A token must open only its own request of its own account."""
    tokens = resume.ResumeTokens("secret")
    with pytest.raises(resume.ResumeRefusedError):
        tokens.verify(tokens.issue(POINT), account, digest)


def test_resume_token_of_another_secret_is_refused():
    """A forged token must not reach any address it names."""
    forged = resume.ResumeTokens("guess").issue(
        dataclasses.replace(POINT, address="10.0.0.1:1")
    )
    with pytest.raises(resume.ResumeRefusedError):
        resume.ResumeTokens("secret").verify(forged, POINT.account, "d")
