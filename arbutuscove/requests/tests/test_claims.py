"""Guards against two runs under one key and against a false `not_run`."""

import datetime

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import once
from arbutuscove.standins import faulty
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import objects as objects_module
from arbutuscove.storage import table as table_module

DAEMONS = 3
CallOutcome = faulty.CallOutcome


class _Objects:
    """An object store whose calls fail when the test decides so."""

    def __init__(self):
        self.answers = {}

    def put(self, key, content):
        if faulty.await_call_outcome() != CallOutcome.ANSWERED:
            raise objects_module.ObjectStoreUnavailableError("down")
        self.answers[key] = content

    def get(self, key):
        if faulty.await_call_outcome() != CallOutcome.ANSWERED:
            raise objects_module.ObjectStoreUnavailableError("down")
        return self.answers[key]


class _Upstream:
    """Records the requests that it runs."""

    def __init__(self):
        self.runs = []

    def run(self, key, attempt):
        """Returns whether the answer arrived; None if the request did not."""
        match faulty.await_call_outcome():
            case CallOutcome.REFUSED:
                return None
            case CallOutcome.ANSWERED:
                self.runs.append((key, attempt))
                return True
            case CallOutcome.UNCONFIRMED | CallOutcome.LATE:
                self.runs.append((key, attempt))
        return False


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Callers reuse keys at daemons that crash, pause and lose messages."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.table = faulty.FaultyTable(table_standin.MemoryTable())
        self.objects = _Objects()
        self.upstream = _Upstream()
        self.operations = {}
        self.attempts = 0
        self.reported = {}
        self.replayed = []
        self.expected = {}

    def _handle(self, daemon, key, body, attempt):
        """Handles one non-repeatable request as the entry does."""
        service = once.AtMostOnce(
            claims.Claims(self.table, self.clock, f"daemon-{daemon}"),
            self.objects,
        )
        try:
            held_claim = service.begin("desk", key, attempt, body)
        except once.AlreadyRanError as ran:
            self.reported[attempt] = failures.RunStatus.RAN
            self.replayed.append((key, ran.answer))
            return
        except failures.RequestFailedError as error:
            self.reported[attempt] = error.run
            return
        answered = self.upstream.run(key, attempt)
        if answered is None:
            self.reported[attempt] = service.cancel(held_claim)
        elif answered:
            self.expected[key] = attempt.encode()
            service.finish(held_claim, attempt.encode())
            self.reported[attempt] = failures.RunStatus.RAN
        else:
            self.reported[attempt] = failures.RunStatus.UNKNOWN

    @stateful.rule(
        daemon=strategies.integers(0, DAEMONS - 1),
        key=strategies.sampled_from(["k", "k", "k", "other"]),
        body=strategies.sampled_from(["b", "b", "b", "changed"]),
    )
    def send(self, daemon, key, body):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        operation = faulty.Operation(
            lambda: self._handle(daemon, key, body, attempt)
        )
        self.operations.setdefault(daemon, []).append(operation)

    @stateful.rule(
        daemon=strategies.integers(0, DAEMONS - 1),
        which=strategies.integers(0, 2),
        outcome=strategies.sampled_from(
            [CallOutcome.ANSWERED] * 6 + list(CallOutcome)
        ),
        count=strategies.sampled_from([1, 1, 2, 3, 5, 40]),
    )
    def step(self, daemon, which, outcome, count):
        running = [
            operation
            for operation in self.operations.get(daemon, [])
            if operation.is_running()
        ]
        if which < len(running):
            for _ in range(count):
                running[which].step(outcome)

    @stateful.rule(daemon=strategies.integers(0, DAEMONS - 1))
    def die(self, daemon):
        for operation in self.operations.pop(daemon, []):
            operation.kill()

    @stateful.rule()
    def deliver_late(self):
        self.table.deliver_late()

    @stateful.invariant()
    def key_runs_at_most_once(self):
        keys = [key for key, _ in self.upstream.runs]
        assert len(keys) == len(set(keys))

    @stateful.invariant()
    def not_run_is_true(self):
        ran = {attempt for _, attempt in self.upstream.runs}
        for attempt, run in self.reported.items():
            assert run != failures.RunStatus.NOT_RUN or attempt not in ran

    @stateful.invariant()
    def replay_is_the_answer_of_the_run(self):
        for key, answer in self.replayed:
            assert answer in (None, self.expected[key])


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis.settings(
    max_examples=250, stateful_step_count=40
)


def _begin(table, attempt, digest="b"):
    clock = clock_module.ManualClock()
    store = claims.Claims(table, clock, "d")
    service = once.AtMostOnce(store, _Objects())
    return service, service.begin("desk", "k", attempt, digest)


def test_claims_abandoned_key_runs_again():
    """After `not_run` a caller must be able to retry under the same key."""
    table = table_standin.MemoryTable()
    service, held_claim = _begin(table, "a1")
    assert service.cancel(held_claim) == failures.RunStatus.NOT_RUN
    _, again = _begin(table, "a2")
    assert again.claim.attempt_id == "a2"


def test_claims_vanished_owner_is_unknown_for_ever():
    """A claim whose owner crashed after dispatch must never run again."""
    table = table_standin.MemoryTable()
    _begin(table, "a1")
    for _ in range(3):
        with pytest.raises(failures.RequestFailedError) as caught:
            _begin(table, "a2")
        assert caught.value.run == failures.RunStatus.UNKNOWN


def test_claims_reused_key_of_another_body():
    """A different request under the same key must not get the stored answer."""
    table = table_standin.MemoryTable()
    _begin(table, "a1")
    with pytest.raises(failures.RequestFailedError) as caught:
        _begin(table, "a2", digest="changed")
    assert caught.value.refusal.code == "idempotency_key_reused"


def test_claims_outage_refuses_without_run():
    """While the table is unavailable, nothing may be dispatched."""
    table = faulty.SwitchedTable(table_standin.MemoryTable())
    table.down = True
    with pytest.raises(failures.RequestFailedError) as caught:
        _begin(table, "a1")
    assert caught.value.run == failures.RunStatus.NOT_RUN
    assert caught.value.refusal.retry_after is not None


def test_claims_of_two_services_are_apart():
    """Accounts with the same name in two services must not share a key."""
    first = claims.build_key(claims.qualify_account("chat", "desk"), "k")
    second = claims.build_key(claims.qualify_account("bids", "desk"), "k")
    assert first != second


@pytest.mark.parametrize("outcome", [CallOutcome.LOST, CallOutcome.LATE])
def test_claims_unsettled_write_is_not_dispatched(outcome):
    """After an uncertain write another daemon may own the claim and run it."""
    table = faulty.FaultyTable(table_standin.MemoryTable())
    failed = []

    def begin():
        with pytest.raises(failures.RequestFailedError) as caught:
            _begin(table, "a1")
        failed.append(caught.value)

    operation = faulty.Operation(begin)
    operation.step(CallOutcome.ANSWERED)
    while operation.is_running():
        operation.step(outcome)
    assert failed[0].refusal.code == "claim_unsettled"
    assert failed[0].run == failures.RunStatus.NOT_RUN


class _HangingTable(table_standin.MemoryTable):
    """A table whose reads time out while `hangs` is set."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self.hangs = True
        self.reads = 0

    def read(self, key):
        self.reads += 1
        if self.hangs:
            self._clock.advance(datetime.timedelta(seconds=2))
            raise table_module.TableUnavailableError("timed out")
        return super().read(key)


def _measure_refusal(service, clock):
    started = clock.monotonic()
    with pytest.raises(failures.RequestFailedError) as caught:
        service.begin("desk", "k", "a", "b")
    assert caught.value.run == failures.RunStatus.NOT_RUN
    assert caught.value.refusal.retry_after is not None
    return clock.monotonic() - started


def test_claims_hanging_table_refuses_at_once():
    """Each caller must not wait for a timeout of its own."""
    clock = clock_module.ManualClock()
    table = _HangingTable(clock)
    service = once.AtMostOnce(claims.Claims(table, clock, "d"), _Objects())
    first = _measure_refusal(service, clock)
    times = [_measure_refusal(service, clock) for _ in range(20)]
    assert max(times) <= datetime.timedelta(milliseconds=50) < first
    assert table.reads == 1


def test_claims_are_taken_again_after_a_hang():
    """The breaker must detect recovery with one probe per open period."""
    clock = clock_module.ManualClock()
    table = _HangingTable(clock)
    service = once.AtMostOnce(claims.Claims(table, clock, "d"), _Objects())
    _measure_refusal(service, clock)
    clock.advance(once.RETRY_AFTER)
    _measure_refusal(service, clock)
    assert table.reads == 2
    table.hangs = False
    clock.advance(once.RETRY_AFTER)
    assert service.begin("desk", "k", "a", "b").claim.attempt_id == "a"
    assert service.begin("desk", "other", "a", "b").claim.attempt_id == "a"
