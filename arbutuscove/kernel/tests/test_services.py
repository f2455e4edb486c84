"""Guards against a service that ends without anybody noticing."""

import gevent

from arbutuscove.kernel import services


def test_loop_that_fails_begins_again(monkeypatch):
    """Guards against a follower that ended at its first unexpected error."""
    monkeypatch.setattr(services, "RESTART_PAUSE", services.RESTART_PAUSE / 100)
    turns = []

    def loop():
        turns.append(None)
        if len(turns) == 1:
            raise ValueError("unexpected")

    service = services.LoopService()
    service.run_loop(loop)
    gevent.sleep(0.02)
    assert len(turns) == 2
    service.stop()
