"""What this daemon knows of the backends it sends requests to.

A group whose member died takes requests on and moves nothing. It is told by
silence: while requests of this daemon run there, no event arrived on any of
them for longer than groups pause. Silence alone may be a long prompt, so its
members are asked; one that does not answer, or a silence in the middle of
answers that no prompt explains, makes the backend *stalled*. It gets no new
requests until it moves again or a time has passed in which it would have
broken; peers that say the same are believed.
"""

import collections
import dataclasses
import datetime
from collections import abc

import eliot

from arbutuscove.fleet import model as fleet_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import model

# A loaded group sends an event each 50 to 150 ms; reading prompts may hold
# them up for some hundred milliseconds.
SILENCE_DOUBTFUL = datetime.timedelta(milliseconds=400)
SILENCE_CERTAIN = datetime.timedelta(milliseconds=1400)
# Pause between two examinations of a silent backend. It doubles while all its
# members answer: a flooded group would cost questions to each of them all the
# time.
EXAMINE_INTERVAL = datetime.timedelta(milliseconds=400)
EXAMINE_LONGEST = datetime.timedelta(milliseconds=3200)
# A group that stands still is broken after this time, as its engine says.
STALL_MEMORY = datetime.timedelta(seconds=7)
# A backend that failed requests is passed over for a while, which doubles.
REST_SHORTEST = datetime.timedelta(milliseconds=500)
REST_LONGEST = datetime.timedelta(seconds=4)
GAP_WEIGHT = 0.15  # of a new pause in the moving mean
# A pause this many times the expected one is more than a full batch and long
# prompts explain: a member of the group is slow.
SLOW_RATIO = 2.8
# A slow backend is tried again after this time without news of it.
SLOW_MEMORY = datetime.timedelta(seconds=4)

# Service and model, empty for plain services.
PoolKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class State:
    """What is known of one backend; times are monotonic."""

    running: int = 0
    answering: int = 0  # of these, requests whose answer has begun
    moved: datetime.timedelta = datetime.timedelta()
    stalled_until: datetime.timedelta | None = None
    stalled_here: bool = False  # found by this daemon, not heard from a peer
    examined: datetime.timedelta | None = None
    examinations: int = 0  # since an answer moved on
    ratio: float = 1.0  # mean pause between events, by the expected one
    slow_until: datetime.timedelta | None = None
    slow_here: bool = False  # found by this daemon, not heard from a peer
    failures: int = 0
    rest_until: datetime.timedelta = datetime.timedelta()


class BackendStates(abc.Mapping[model.BackendKey, State]):
    """The states of all backends by key."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._states: dict[model.BackendKey, State] = {}

    def __getitem__(self, key: model.BackendKey) -> State:
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = State()
        return state

    def __iter__(self) -> abc.Iterator[model.BackendKey]:
        return iter(self._states)

    def __len__(self) -> int:
        return len(self._states)

    def retain(self, keys: abc.Set[model.BackendKey]) -> None:
        """Forgets idle backends that are listed no more."""
        for key in list(self._states):
            if key not in keys and not self._states[key].running:
                del self._states[key]

    def begin(self, key: model.BackendKey) -> None:
        """Counts a request that is sent to a backend."""
        state = self[key]
        if state.running == 0:
            state.moved = self._clock.monotonic()
        state.running += 1

    def end(self, key: model.BackendKey) -> None:
        """Counts the end of a request."""
        state = self[key]
        state.running = max(0, state.running - 1)

    def begin_answer(self, key: model.BackendKey) -> None:
        """Counts a request whose answer begins."""
        self[key].answering += 1

    def end_answer(self, key: model.BackendKey) -> None:
        """Counts the end of a request whose answer had begun."""
        state = self[key]
        state.answering = max(0, state.answering - 1)

    def stands_still(
        self, key: model.BackendKey, longest: datetime.timedelta
    ) -> bool:
        """Returns whether the silence of a backend shows that it is stalled.

        Requests whose answers have not begun may wait in the engine's queue.

        Args:
            key: the backend.
            longest: the longest pause of a slow but sound engine of its model.
        """
        certain = max(SILENCE_CERTAIN, longest)
        return self[key].answering > 0 and self.silent_for(key) >= certain

    def note_progress(self, key: model.BackendKey, ratio: float | None) -> None:
        """Notes that an answer moved on.

        Args:
            key: the backend.
            ratio: the pause before an event by the expected one; None if no
                event came before.
        """
        state = self[key]
        state.moved = self._clock.monotonic()
        state.examinations = 0
        state.failures = 0
        if state.stalled_until is not None:
            state.stalled_until = None
            eliot.log_message("backend:moves_again", backend=key[0])
        if ratio is not None:
            state.ratio += GAP_WEIGHT * (ratio - state.ratio)
            if state.ratio >= SLOW_RATIO:
                self.mark_slow(key, "pauses")

    def mark_slow(
        self, key: model.BackendKey, source: str, here: bool = True
    ) -> None:
        """Marks a backend as slow for a while."""
        state = self[key]
        if not self.is_slow(key):
            state.slow_here = here
            eliot.log_message(
                "backend:slow",
                backend=key[0],
                source=source,
                ratio=round(state.ratio, 2),
            )
        state.slow_until = self._clock.monotonic() + SLOW_MEMORY

    def is_slow(self, key: model.BackendKey) -> bool:
        """Returns whether a backend is marked as slow."""
        state = self._states.get(key)
        if state is None or state.slow_until is None:
            return False
        if self._clock.monotonic() < state.slow_until:
            return True
        # Its next requests show whether it still is.
        state.slow_until = None
        state.ratio = 1.0
        return False

    def list_slow(self) -> list[model.BackendKey]:
        """Returns the backends that this daemon itself found slow."""
        return [
            key
            for key, state in self._states.items()
            if state.slow_here and self.is_slow(key)
        ]

    def note_failure(self, key: model.BackendKey) -> None:
        """Notes a request that the backend failed; it rests for a while."""
        state = self[key]
        rest = min(REST_SHORTEST * 2**state.failures, REST_LONGEST)
        state.failures = min(state.failures + 1, 8)
        state.rest_until = self._clock.monotonic() + rest

    def silent_for(self, key: model.BackendKey) -> datetime.timedelta:
        """Returns how long no answer here moved on."""
        return self._clock.monotonic() - self[key].moved

    def is_silent(self, key: model.BackendKey) -> bool:
        """Returns whether no answer here moved on for a doubtful time."""
        return self.silent_for(key) >= SILENCE_DOUBTFUL

    def begin_examination(self, key: model.BackendKey) -> bool:
        """Returns whether a silent backend is due to be examined."""
        state = self[key]
        now = self._clock.monotonic()
        if self.is_stalled(key) or not self.is_silent(key):
            return False
        last = state.examined
        pause = EXAMINE_INTERVAL * 2 ** max(0, state.examinations - 1)
        if last is not None and now - last < min(pause, EXAMINE_LONGEST):
            return False
        state.examined = now
        state.examinations += 1
        return True

    def mark_stalled(
        self, key: model.BackendKey, source: str, here: bool = True
    ) -> bool:
        """Marks a backend as stalled; returns whether that is news."""
        state = self[key]
        now = self._clock.monotonic()
        if state.stalled_until is not None and now < state.stalled_until:
            return False
        state.stalled_until = now + STALL_MEMORY
        state.stalled_here = here
        eliot.log_message(
            "backend:stalled",
            backend=key[0],
            epoch=key[1],
            source=source,
            silent=(now - state.moved).total_seconds(),
            running=state.running,
        )
        return True

    def is_stalled(self, key: model.BackendKey) -> bool:
        """Returns whether a backend is marked as stalled."""
        state = self._states.get(key)
        if state is None or state.stalled_until is None:
            return False
        return self._clock.monotonic() < state.stalled_until

    def list_stalled(self) -> list[model.BackendKey]:
        """Returns the backends that this daemon itself found stalled."""
        return [
            key
            for key, state in self._states.items()
            if state.stalled_here and self.is_stalled(key)
        ]

    def rests(self, key: model.BackendKey) -> bool:
        """Returns whether a backend failed requests a moment ago."""
        state = self._states.get(key)
        return state is not None and self._clock.monotonic() < state.rest_until


def find_backends(
    vms: abc.Iterable[fleet_model.Vm],
) -> dict[PoolKey, list[model.Backend]]:
    """Returns the backends that take requests, by service and model.

    It is made anew at each change of the list, in each daemon, so it goes over
    the VMs once. The rules are those of `fleet.model.Group`.
    """
    found: dict[PoolKey, list[model.Backend]] = collections.defaultdict(list)
    heads: dict[model.BackendKey, fleet_model.Vm] = {}
    sizes: collections.Counter[model.BackendKey] = collections.Counter()
    leaving: set[model.BackendKey] = set()
    for vm in vms:
        held = vm.membership
        if held is None:
            if not vm.leaving and not vm.fabric_domain:
                backend = model.Backend(
                    key=(vm.name, vm.started_at_ms),
                    vm=vm,
                    model="",
                    slots=vm.slots,
                )
                found[(vm.service, "")].append(backend)
            continue
        key = (held.group, held.epoch)
        sizes[key] += 1
        if vm.leaving:
            leaving.add(key)
        if held.rank == 0 and held.state in fleet_model.SERVING_STATES:
            heads.setdefault(key, vm)
    for key, head in heads.items():
        assert head.membership is not None
        opened = head.membership.state == fleet_model.MemberState.OPEN
        if key in leaving or not opened:
            continue
        backend = model.Backend(
            key=key,
            vm=head,
            model=fleet_model.parse_model_name(key[0]),
            slots=head.slots,
            members=sizes[key],
        )
        found[(head.service, backend.model)].append(backend)
    return found
