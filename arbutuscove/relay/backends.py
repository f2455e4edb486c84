"""Health of the backends, as this daemon observes it.

A group whose member died still accepts requests, but makes no progress. This
daemon detects it by silence: none of its requests at the backend received an
event for longer than groups pause between events. Silence alone may be due to
a long prompt, so the daemon probes the members of the group. The backend is
marked as *stalled* if a member does not answer, or if the silence in the middle
of answers is longer than a prompt explains. A stalled backend gets no new
requests until it makes progress again or until the mark expires, which is after
the time in which a stalled group breaks. Reports of other daemons that a
backend is stalled or slow are accepted as they are.
"""

import collections
import dataclasses
import datetime
from collections import abc

import eliot

from arbutuscove.fleet import model as fleet_model
from arbutuscove.fleet import notices
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import model

# Silence after which a backend is probed, and silence after which it counts as
# stalled. A loaded group sends an event each 50 to 150 ms; prompt processing
# may delay events by some hundred milliseconds.
SUSPECT_TIMEOUT = datetime.timedelta(milliseconds=400)
STALL_TIMEOUT = datetime.timedelta(milliseconds=1400)
# Time between two probes of a silent backend. It doubles while all its members
# answer: otherwise all members of an overloaded group would be probed
# continuously.
PROBE_INTERVAL = datetime.timedelta(milliseconds=400)
MAX_PROBE_INTERVAL = datetime.timedelta(milliseconds=3200)
# The engine of a stalled group reports the group as broken after this time.
STALL_MARK_TTL = datetime.timedelta(seconds=7)
# A backend that failed requests is avoided for a time, which doubles with each
# failure.
MIN_COOLDOWN = datetime.timedelta(milliseconds=500)
MAX_COOLDOWN = datetime.timedelta(seconds=4)
NO_PAUSE = datetime.timedelta()
MAX_PAUSED_VMS = 4096  # the pause that was recorded first is dropped
PAUSE_WEIGHT = 0.15  # weight of a new pause in the moving mean
# Full batches and long prompts do not explain a mean pause of this many times
# the expected one: a member of the group is slow.
SLOW_PAUSE_RATIO = 2.8
# A slow backend is used again if it was not found slow for this time.
SLOW_MARK_TTL = datetime.timedelta(seconds=4)

# Service and model; the model is empty for plain services.
PoolKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class State:
    """Observed state of one backend; times are monotonic."""

    running: int = 0
    answering: int = 0  # running requests whose answer has begun
    last_progress: datetime.timedelta = datetime.timedelta()
    stalled_until: datetime.timedelta | None = None
    is_stall_local: bool = False  # detected here, not reported by a peer
    # What was observed, and the peers that reported it.
    stall_sources: set[str] = dataclasses.field(default_factory=set)
    last_probe: datetime.timedelta | None = None
    probes_since_progress: int = 0
    pause_ratio: float = 1.0  # mean of pause / expected pause
    slow_until: datetime.timedelta | None = None
    is_slowness_local: bool = False  # detected here, not reported by a peer
    failures: int = 0  # in a row, at most 8
    cooldown_until: datetime.timedelta = datetime.timedelta()


class BackendStates(abc.Mapping[model.BackendKey, State]):
    """The states of all backends by key.

    `is_warming` tells of a backend whether a VM of it has just started. Long
    pauses are expected then, so that they make it neither slow nor stalled.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        is_warming: abc.Callable[[model.BackendKey], bool] = lambda key: False,
    ) -> None:
        self._clock = clock
        self._is_warming = is_warming
        self._states: dict[model.BackendKey, State] = {}
        # Until when a VM wants no requests, by its name and start.
        self._paused: dict[notices.VmIdentity, datetime.timedelta] = {}

    def copy(self) -> "BackendStates":
        """Returns states that change apart from these."""
        copied = BackendStates(self._clock, self._is_warming)
        copied._states = {
            key: dataclasses.replace(
                state, stall_sources=set(state.stall_sources)
            )
            for key, state in self._states.items()
        }
        copied._paused = dict(self._paused)
        return copied

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
        """Removes idle backends that are no longer listed."""
        for key in list(self._states):
            if key not in keys and not self._states[key].running:
                del self._states[key]

    def begin_request(self, key: model.BackendKey) -> None:
        """Counts the start of a request at a backend."""
        state = self[key]
        if state.running == 0:
            state.last_progress = self._clock.monotonic()
        state.running += 1

    def end_request(self, key: model.BackendKey) -> None:
        """Counts the end of a request at a backend."""
        state = self[key]
        state.running = max(0, state.running - 1)

    def begin_answer(self, key: model.BackendKey) -> None:
        """Counts a request whose answer has begun."""
        self[key].answering += 1

    def end_answer(self, key: model.BackendKey) -> None:
        """Counts the end of a request whose answer had begun."""
        state = self[key]
        state.answering = max(0, state.answering - 1)

    def is_past_stall_timeout(
        self, key: model.BackendKey, longest_pause: datetime.timedelta
    ) -> bool:
        """Returns whether a backend has been silent long enough to be stalled.

        Only requests whose answers have begun count: the others may be waiting
        in the engine's queue.

        Args:
            key: the backend.
            longest_pause: longest pause between events of a slow but healthy
                engine of its model.
        """
        if self._is_warming(key):
            return False
        timeout = max(STALL_TIMEOUT, longest_pause)
        return self[key].answering > 0 and self.get_silence(key) >= timeout

    def record_progress(
        self, key: model.BackendKey, pause_ratio: float | None
    ) -> None:
        """Records that an answer made progress.

        Args:
            key: the backend.
            pause_ratio: pause before the event divided by the expected pause;
                None if no event came before or no pause is expected.
        """
        state = self[key]
        state.last_progress = self._clock.monotonic()
        state.probes_since_progress = 0
        state.failures = 0
        if state.stalled_until is not None:
            state.stalled_until = None
            eliot.log_message("backend:moves_again", backend=key[0])
        if pause_ratio is not None and not self._is_warming(key):
            state.pause_ratio += PAUSE_WEIGHT * (
                pause_ratio - state.pause_ratio
            )
            if state.pause_ratio >= SLOW_PAUSE_RATIO:
                self.mark_slow(key, "pauses")

    def mark_slow(
        self, key: model.BackendKey, source: str, is_local: bool = True
    ) -> None:
        """Marks a backend as slow for `SLOW_MARK_TTL`.

        Args:
            key: the backend.
            source: what was observed, or the peer that reported it.
            is_local: whether this daemon detected it.
        """
        state = self[key]
        if not self.is_slow(key):
            state.is_slowness_local = is_local
            eliot.log_message(
                "backend:slow",
                backend=key[0],
                source=source,
                ratio=round(state.pause_ratio, 2),
            )
        state.slow_until = self._clock.monotonic() + SLOW_MARK_TTL

    def is_slow(self, key: model.BackendKey) -> bool:
        """Returns whether a backend is marked as slow."""
        state = self._states.get(key)
        if state is None or state.slow_until is None:
            return False
        if self._clock.monotonic() < state.slow_until:
            return True
        # Expired: the next requests show whether the backend is still slow.
        state.slow_until = None
        state.pause_ratio = 1.0
        return False

    def list_locally_slow(self) -> list[model.BackendKey]:
        """Returns the slow backends that this daemon detected itself."""
        return [
            key
            for key, state in self._states.items()
            if state.is_slowness_local and self.is_slow(key)
        ]

    def record_failure(self, key: model.BackendKey) -> None:
        """Records a failed request and starts a cooldown of the backend."""
        state = self[key]
        cooldown = min(MIN_COOLDOWN * 2**state.failures, MAX_COOLDOWN)
        state.failures = min(state.failures + 1, 8)
        state.cooldown_until = self._clock.monotonic() + cooldown

    def get_silence(self, key: model.BackendKey) -> datetime.timedelta:
        """Returns the time since an answer of the backend made progress."""
        return self._clock.monotonic() - self[key].last_progress

    def is_silent(self, key: model.BackendKey) -> bool:
        """Returns whether the backend has been silent for `SUSPECT_TIMEOUT`."""
        return self.get_silence(key) >= SUSPECT_TIMEOUT

    def start_probe_if_due(self, key: model.BackendKey) -> bool:
        """Records the start of a probe if a silent backend is due for one.

        Returns:
            Whether the caller is to probe the backend.
        """
        state = self[key]
        now = self._clock.monotonic()
        if self.is_stalled(key) or not self.is_silent(key):
            return False
        previous = state.last_probe
        pause = PROBE_INTERVAL * 2 ** max(0, state.probes_since_progress - 1)
        if previous is not None and now - previous < min(
            pause, MAX_PROBE_INTERVAL
        ):
            return False
        state.last_probe = now
        state.probes_since_progress += 1
        return True

    def mark_stalled(
        self, key: model.BackendKey, source: str, is_local: bool = True
    ) -> bool:
        """Marks a backend as stalled for `STALL_MARK_TTL`.

        Args:
            key: the backend.
            source: what was observed, or the peer that reported it.
            is_local: whether this daemon detected it.

        Returns:
            Whether the backend was not marked before.
        """
        state = self[key]
        now = self._clock.monotonic()
        if state.stalled_until is not None and now < state.stalled_until:
            state.stall_sources.add(source)
            return False
        state.stalled_until = now + STALL_MARK_TTL
        state.is_stall_local = is_local
        state.stall_sources = {source}
        eliot.log_message(
            "backend:stalled",
            backend=key[0],
            epoch=key[1],
            source=source,
            silent=(now - state.last_progress).total_seconds(),
            running=state.running,
        )
        return True

    def clear_stalled(self, key: model.BackendKey, source: str) -> bool:
        """Removes one source of a mark, and the mark with its last source.

        Args:
            key: the backend.
            source: the source that the mark was set with.

        Returns:
            Whether the mark was removed.
        """
        if not self.is_stalled(key) or source not in self[key].stall_sources:
            return False
        state = self[key]
        state.stall_sources.discard(source)
        if state.stall_sources:
            return False
        state.stalled_until = None
        eliot.log_message("backend:not_stalled", backend=key[0], source=source)
        return True

    def is_stalled(self, key: model.BackendKey) -> bool:
        """Returns whether a backend is marked as stalled."""
        state = self._states.get(key)
        if state is None or state.stalled_until is None:
            return False
        return self._clock.monotonic() < state.stalled_until

    def list_locally_stalled(self) -> list[model.BackendKey]:
        """Returns the stalled backends that this daemon detected itself."""
        return [
            key
            for key, state in self._states.items()
            if state.is_stall_local and self.is_stalled(key)
        ]

    def pause(self, vm: fleet_model.Vm, pause: datetime.timedelta) -> None:
        """Sends no requests to a VM for some time, as it asks for.

        Args:
            vm: the VM that receives the requests of a backend.
            pause: the time from now on.
        """
        until = self._clock.monotonic() + pause
        if not self.is_paused(vm):
            eliot.log_message(
                "backend:paused", vm=vm.name, seconds=pause.total_seconds()
            )
        known = self._paused.pop(vm.identity, until)
        self._paused[vm.identity] = max(known, until)
        if len(self._paused) > MAX_PAUSED_VMS:
            del self._paused[next(iter(self._paused))]

    def is_paused(self, vm: fleet_model.Vm) -> bool:
        """Returns whether a VM has asked for a pause that is not over."""
        return self.get_pause(vm) > NO_PAUSE

    def get_pause(self, vm: fleet_model.Vm) -> datetime.timedelta:
        """Returns the rest of the pause of a VM, 0 without one."""
        if not self._paused:
            return NO_PAUSE
        until = self._paused.get(vm.identity)
        if until is None:
            return NO_PAUSE
        rest = until - self._clock.monotonic()
        if rest <= datetime.timedelta():
            del self._paused[vm.identity]
        return max(rest, datetime.timedelta())

    def is_cooling_down(self, key: model.BackendKey) -> bool:
        """Returns whether a backend is avoided after recent failures."""
        state = self._states.get(key)
        return (
            state is not None and self._clock.monotonic() < state.cooldown_until
        )


def build_backend_pools(
    vms: abc.Iterable[fleet_model.Vm],
) -> dict[PoolKey, list[model.Backend]]:
    """Returns the backends that accept requests, by service and model.

    Each daemon recomputes them at each change of the list of VMs, so the
    function needs a single pass over the VMs. A group is a backend under the
    same rules as in `fleet.model.Group`.
    """
    pools: dict[PoolKey, list[model.Backend]] = collections.defaultdict(list)
    heads: dict[model.BackendKey, fleet_model.Vm] = {}
    member_counts: collections.Counter[model.BackendKey] = collections.Counter()
    leaving_groups: set[model.BackendKey] = set()
    for vm in vms:
        member = vm.membership
        if member is None:
            if not vm.leaving and not vm.fabric_domain:
                backend = model.Backend(
                    key=(vm.name, vm.started_at_ms),
                    vm=vm,
                    model="",
                    slots=vm.slots,
                )
                pools[(vm.service, "")].append(backend)
            continue
        key = (member.group, member.epoch)
        member_counts[key] += 1
        if vm.leaving:
            leaving_groups.add(key)
        if member.rank == 0 and member.state in fleet_model.SERVING_STATES:
            heads.setdefault(key, vm)
    for key, head in heads.items():
        assert head.membership is not None
        is_open = head.membership.state == fleet_model.MemberState.OPEN
        if key in leaving_groups or not is_open:
            continue
        backend = model.Backend(
            key=key,
            vm=head,
            model=fleet_model.parse_model_name(key[0]),
            slots=head.slots,
            members=member_counts[key],
        )
        pools[(head.service, backend.model)].append(backend)
    return pools
