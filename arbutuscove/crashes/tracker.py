"""Tracks which requests crash upstreams, and keeps them from further ones.

When an answer is lost before its end, the VM is examined. It is
also examined after an attempt has ended without an answer, until it shows life:
the request may still run there. Only a VM that is known to have crashed counts
as a death: a connection also breaks without one. If a probe decides nothing,
later ones do, or the list of VMs once it shows a later start of the VM.

A death blames all requests that were running at the VM, however it is learnt.
"""

import dataclasses
import datetime
import typing
from collections import abc

import eliot
import gevent.pool
from gevent import event

from arbutuscove.crashes import exposures as exposures_module
from arbutuscove.crashes import holder
from arbutuscove.crashes import judgement
from arbutuscove.crashes import liveness
from arbutuscove.crashes import traits
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "crashes"
WATCH_INTERVAL = datetime.timedelta(milliseconds=250)
EXPIRY_INTERVAL = datetime.timedelta(seconds=5)
MAX_EXAMINED = 8  # VMs that are examined at once
# Requests that are lost together share the result of one probe.
PROBE_TTL = datetime.timedelta(milliseconds=250)
MAX_LOGGED_PARTS = 8
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)


Request = traits.Request
VmT = typing.TypeVar("VmT", bound=exposures_module.Vm)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Trial:
    # The object itself: its id comes from the caller, who may use it again.
    request: Request
    started_at: datetime.timedelta


class CrashTracker(services.LoopService, typing.Generic[VmT]):
    """Decides which requests may run, from the evidence of all daemons."""

    def __init__(
        self,
        clock: clock_module.Clock,
        find_vm: abc.Callable[[str], VmT | None],
        probe: abc.Callable[[VmT], liveness.Liveness],
        send: abc.Callable[[bytes], None],
        is_trial_owner: abc.Callable[[int], bool],
        evidence: holder.EvidenceHolder,
    ) -> None:
        """Creates a tracker.

        Args:
            clock: the clock.
            find_vm: returns a listed VM by its name.
            probe: determines whether a VM is alive.
            send: sends encoded evidence to all other daemons.
            is_trial_owner: whether this daemon may try a trait; all other
                daemons refuse requests with it meanwhile.
            evidence: the evidence, which is exchanged with other daemons.
        """
        self._clock = clock
        self._find_vm = find_vm
        self._probe = probe
        self._send = send
        self._is_trial_owner = is_trial_owner
        self._evidence = evidence
        self._trials: dict[int, _Trial] = {}
        # The stream that may be resumed, by the suspect trait that it has.
        self._resumed: dict[int, Request] = {}
        self._exposures: exposures_module.Exposures[VmT] = (
            exposures_module.Exposures()
        )
        self._has_ended = event.Event()
        self._examinations = gevent.pool.Pool(MAX_EXAMINED)
        evidence.add_death_listener(self._record_reported)
        self._probes: dict[str, event.AsyncResult] = {}
        self._probed: dict[
            str, tuple[liveness.Liveness, datetime.timedelta]
        ] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that looks for crashes."""
        self.run_loop(self._run)

    def begin(
        self, request: Request, vm: VmT, has_begun: bool
    ) -> exposures_module.Exposure[VmT]:
        """Records that a request is being sent to a VM.

        Args:
            request: the request.
            vm: the VM.
            has_begun: whether the VM runs it at once, as far as is known.
        """
        now = self._clock.monotonic()
        return self._exposures.begin(request, vm, now, has_begun)

    def record_begin(self, exposure: exposures_module.Exposure[VmT]) -> None:
        """Records that the VM has begun to run a request."""
        self._exposures.record_begin(exposure)
        self.record_life(exposure.vm)

    def record_life(self, vm: VmT) -> None:
        """Records that a VM has answered."""
        self._exposures.record_life(vm, self._clock.monotonic())

    def finish(self, exposure: exposures_module.Exposure[VmT]) -> None:
        """Records that the VM has survived a request or did not run it.

        It is no sign of life: what refuses a request may be another VM that has
        taken the address.
        """
        self._exposures.finish(exposure)

    def end(self, exposure: exposures_module.Exposure[VmT]) -> None:
        """Records that an attempt ended whose request may still run."""
        self._exposures.end(exposure, self._clock.monotonic())
        if self._exposures.has_ended():
            self._has_ended.set()

    def find_culprit(self, request: Request) -> judgement.Culprit | None:
        """Returns the trait for which a request must not run, if any.

        Once a culprit is due for a trial, one daemon admits one request.
        """
        culprits = self._evidence.culprits
        if not culprits:
            return None
        for key in traits.list_traits(request):
            culprit = culprits.get(key)
            if culprit is not None and not self._may_try(culprit, request):
                return culprit
        return None

    def find_blamed(self, request: Request) -> judgement.Culprit | None:
        """Returns the trait that a request is refused for, without a trial.

        Unlike `find_culprit` it begins no trial and logs nothing.
        """
        culprits = self._evidence.culprits
        keys = traits.list_traits(request) if culprits else ()
        found = (culprits.get(key) for key in keys)
        return next((item for item in found if item is not None), None)

    def may_repeat(self, request: Request) -> bool:
        """Returns whether a lost request may be sent to another VM.

        A request does not if a death blames a part of its prompt and no answer
        to a request with that part is known: it may have caused the death.
        """
        keys = traits.list_traits(request)
        if any(self._evidence.is_suspect(key) for key in keys):
            return False
        return self.find_culprit(request) is None

    def may_resume(self, request: Request) -> bool:
        """Returns whether a stream that was lost midway may go on elsewhere.

        Of the streams that share a suspect trait, one may: a death is no
        verdict, but each of them may cost another VM.
        """
        if self.find_culprit(request) is not None:
            return False
        suspects = [
            key
            for key in traits.list_traits(request)
            if self._evidence.is_suspect(key)
        ]
        if any(
            self._resumed.get(key, request) is not request for key in suspects
        ):
            return False
        for key in suspects:
            self._resumed[key] = request
        return True

    def check(self, request: Request) -> datetime.timedelta | None:
        """Returns None if a request may run, else when it may come again."""
        culprit = self.find_culprit(request)
        if culprit is None:
            return None
        remaining = culprit.trial_due - self._clock.monotonic()
        retry_after = max(remaining, MIN_RETRY_AFTER)
        eliot.log_message(
            "crash:refused",
            request_id=request.request_id,
            suspects=holder.format_keys((culprit.key,)),
            deaths=culprit.deaths,
            prompt_parts=request.prompt_parts[:MAX_LOGGED_PARTS],
            retry_after=round(retry_after.total_seconds(), 1),
        )
        return retry_after

    def record_answer(self, request: Request, at: datetime.timedelta) -> None:
        """Records that an upstream has answered a request and survived it.

        Args:
            request: the request.
            at: monotonic time at which the answer began.
        """
        keys = list(map(traits.hash_part, request.prompt_parts))
        if self._evidence.get_fingerprint():
            whole = traits.hash_request(request.encode_identity())
            if self._evidence.is_blamed(whole):
                keys.append(whole)
        self._evidence.record_answer(keys, at)

    def report_loss(self, exposure: exposures_module.Exposure[VmT]) -> None:
        """Records a death if the VM of a lost answer has crashed.

        Returns once the other daemons have been told, so that the request is
        not sent again before.

        Args:
            exposure: the request and its VM.
        """
        self._examine(exposure.vm, exposure.request)

    def settle_losses(self) -> None:
        """Records the crashes that the list of VMs shows."""
        self._exposures.expire(self._clock.monotonic())
        for vm in self._exposures.list_open():
            listed = self._find_vm(vm.name)
            if listed is not None and _has_restarted(vm, listed):
                self._record_death(vm)
            elif listed is not None and listed.leaving:
                # Its end is planned, and no crash.
                self._exposures.forget(vm)
        if not self._exposures.has_ended():
            self._has_ended.clear()

    def examine_silent(self) -> None:
        """Begins to examine VMs that have been silent since an attempt ended.

        At most `MAX_EXAMINED` at once; the others are due again later.
        """
        for vm in self._exposures.list_due(
            self._clock.monotonic(), self._examinations.free_count()
        ):
            self._examinations.spawn(self._examine, vm)

    def _examine(self, vm: VmT, request: Request | None = None) -> None:
        """Determines whether a VM has crashed and records its death if so.

        Args:
            vm: the VM.
            request: the request that was lost there, if one was.
        """
        identity = exposures_module.identify(vm)
        state = self._determine_liveness(vm, identity)
        eliot.log_message(
            "crash:examined",
            request_id=None if request is None else request.request_id,
            vm=identity,
            liveness=state.name.lower(),
        )
        match state:
            case liveness.Liveness.DEAD:
                self._record_death(vm, request)
            case liveness.Liveness.ALIVE:
                self.record_life(vm)

    def _determine_liveness(self, vm: VmT, identity: str) -> liveness.Liveness:
        listed = self._find_vm(vm.name)
        if listed is not None and _has_restarted(vm, listed):
            return liveness.Liveness.DEAD
        if listed is not None and listed.leaving:
            # A planned stop ends connections, too.
            return liveness.Liveness.ALIVE
        now = self._clock.monotonic()
        state, probed_at = self._probed.get(identity, (None, now))
        if state is not None and now - probed_at < PROBE_TTL:
            return state
        result = self._probes.get(identity)
        if result is not None:
            return typing.cast(liveness.Liveness, result.get())
        result = self._probes[identity] = event.AsyncResult()
        state = liveness.Liveness.UNKNOWN
        try:
            state = self._probe(vm)
        finally:
            self._probed[identity] = (state, self._clock.monotonic())
            self._probes.pop(identity)
            result.set(state)
        return state

    def _record_reported(self, identity: str) -> None:
        """Adds to a death that another daemon reports what ran there."""
        if self._exposures.has_any(identity):
            self._blame(identity, None)

    def _record_death(self, vm: VmT, request: Request | None = None) -> None:
        self._blame(exposures_module.identify(vm), request)

    def _blame(self, identity: str, request: Request | None) -> None:
        """Blames all requests that were running at a VM for its death.

        Args:
            identity: the start of the VM.
            request: the request whose loss showed the death, if one did.
        """
        now = self._clock.monotonic()
        known_at = self._evidence.get_death_time(identity)
        crashed_at = now if known_at is None else min(now, known_at)
        running, waiting = self._exposures.take(identity, crashed_at)
        death = judgement.Death(
            identity=identity,
            at=crashed_at,
            suspects=self._evidence.limit_suspects(running),
            waiting=self._evidence.limit_suspects(waiting),
        )
        if not death.blame or not self._evidence.record_death(death):
            return
        eliot.log_message(
            "crash:death",
            request_id=None if request is None else request.request_id,
            vm=identity,
            prompt_parts=None
            if request is None
            else request.prompt_parts[:MAX_LOGGED_PARTS],
            suspects=holder.format_keys(death.suspects),
            waiting=holder.format_keys(death.waiting),
        )
        self._send(self._evidence.encode_evidence(identity))

    def _may_try(self, culprit: judgement.Culprit, request: Request) -> bool:
        """Returns whether the request is the trial of a culprit."""
        now = self._clock.monotonic()
        trial = self._trials.get(culprit.key)
        if trial is not None:
            if trial.request is request:
                return True
            if now - trial.started_at < judgement.MIN_TRIAL_DELAY:
                return False
        if now < culprit.trial_due or not self._is_trial_owner(culprit.key):
            return False
        self._drop_trials()
        self._trials[culprit.key] = _Trial(request=request, started_at=now)
        eliot.log_message(
            "crash:trial",
            request_id=request.request_id,
            suspects=holder.format_keys((culprit.key,)),
        )
        return True

    def _drop_trials(self) -> None:
        """Forgets the trials of traits that have been cleared."""
        self._trials = {
            key: trial
            for key, trial in self._trials.items()
            if key in self._evidence.culprits
        }

    def _drop_resumed(self) -> None:
        """Forgets the resumed streams of traits that are no suspects now."""
        self._resumed = {
            key: request
            for key, request in self._resumed.items()
            if self._evidence.is_suspect(key)
        }

    def _run(self) -> None:
        expiry_due = self._clock.monotonic()
        while True:
            if self._has_ended.wait(EXPIRY_INTERVAL.total_seconds()):
                self.settle_losses()
                self.examine_silent()
                self._clock.sleep(WATCH_INTERVAL)
            now = self._clock.monotonic()
            if now >= expiry_due:
                expiry_due = now + EXPIRY_INTERVAL
                self._evidence.expire()
                self._exposures.expire(now)
                self._drop_trials()
                self._drop_resumed()
                self._probed = {
                    identity: probed
                    for identity, probed in self._probed.items()
                    if now - probed[1] < PROBE_TTL
                }


def _has_restarted(
    vm: exposures_module.Vm, listed: exposures_module.Vm
) -> bool:
    return listed.started_at_ms > vm.started_at_ms
