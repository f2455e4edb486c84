"""Guards against a service whose loop ends unnoticed."""

import gevent

from arbutuscove.kernel import services


def test_loop_that_fails_begins_again(monkeypatch):
    """Guards against a loop that ends at the first unexpected exception."""
    monkeypatch.setattr(services, "RESTART_DELAY", services.RESTART_DELAY / 100)
    runs = []

    def loop():
        runs.append(None)
        if len(runs) == 1:
            raise ValueError("unexpected")

    service = services.LoopService()
    service.run_loop(loop)
    gevent.sleep(0.02)
    assert len(runs) == 2
    service.stop()


def test_loop_survives_an_interrupt_in_its_pause():
    """Guards against a service that an interrupt ends for good.

    Followers are interrupted by exceptions thrown into their greenlets.
    """

    def loop():
        raise ValueError("unexpected")

    service = services.LoopService()
    service.run_loop(loop)
    gevent.sleep(0.02)  # now in the pause after the failure
    service._greenlet.kill(KeyError, block=False)
    gevent.sleep(0.02)
    assert not service._greenlet.dead
    service.stop()
    assert service._greenlet.dead
