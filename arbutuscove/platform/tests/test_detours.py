"""Guards against a failure domain that gets no orders behind a cut path.

The holder of the duty reaches the other failure domains all the while, so that
its paths to the service count as sound.
"""

import msgspec
import pytest

from arbutuscove.fleet.tests import test_planner
from arbutuscove.paths import carriers
from arbutuscove.paths import detours
from arbutuscove.paths.tests import scripts
from arbutuscove.platform import engine
from arbutuscove.storage import http
from arbutuscove.transport import pool

CUT_VMS = 57  # of the failure domain that is not reached
OWN, CUT, THIRD = "own", "cut", "third"


def _create_carrier(name, domain):
    return carriers.Carrier(
        name=name, host=name, port=7340, capacity=1000, failure_domain=domain
    )


class _Scene:
    """A daemon that is cut off from the VMs of one failure domain."""

    def __init__(self, peers):
        self.daemon = scripts.Daemon(CUT_VMS + 1)
        self.daemon.carriers = peers
        self.network = self.daemon.network
        self.client = engine.HttpOrderClient(
            self.daemon.connections, self.daemon.clock
        )
        *cut, reached = self.daemon.addresses
        self.reached = self._create_vm("reached", THIRD, reached)
        self.vms = [
            self._create_vm(f"vm-{number}", CUT, address)
            for number, address in enumerate(cut)
        ]
        for address in cut:
            self.network.direct[address] = http.NotSentError

    @staticmethod
    def _create_vm(name, domain, address):
        return test_planner.create_vm(
            name,
            failure_domain=domain,
            address=address,
            service=scripts.SERVICE,
        )

    def check_out(self, vm):
        """Returns a new connection to a VM, None if there is no path."""
        connections = self.daemon.connections
        if vm is not self.reached:
            self.check_out(self.reached)
        try:
            opened = self.client._check_out(
                vm, engine.ORDER_TIMEOUT, pool.NEVER_IDLE
            )
        except http.NotSentError:
            return None
        connections.record_answer(scripts.SERVICE, opened)
        return opened


@pytest.mark.parametrize("near", [CUT, THIRD])
def test_orders_to_a_domain_that_is_not_reached_take_a_peer(near):
    """Guards against a domain that comes back and gets no groups.

    Load pattern: all VMs of the domain get orders within a moment.
    """
    peers = [_create_carrier(f"own-{n}", OWN) for n in range(4)]
    scene = _Scene([*peers, _create_carrier("near", near)])
    scene.daemon.peer_paths._own_domain = OWN
    opened = [scene.check_out(vm) for vm in scene.vms]
    assert [item.carrier.host for item in opened] == ["near"] * CUT_VMS
    assert scene.check_out(scene.reached).carrier is None
    direct = [call[1] for call in scene.network.calls if call[0] == "direct"]
    assert sum(vm.address in direct for vm in scene.vms) <= 2


def test_detour_ends_with_the_cut():
    """Guards against orders that take peers long after the path is back."""
    scene = _Scene([_create_carrier("near", CUT)])
    assert scene.check_out(scene.vms[0]).carrier is not None
    scene.network.direct.clear()
    scene.daemon.clock.advance(detours.DIRECT_INTERVAL)
    assert [scene.check_out(vm).carrier for vm in scene.vms] == [None] * CUT_VMS


def test_dead_domain_costs_one_trial_through_peers():
    """Guards against calls of peers for each VM of a domain that has died."""
    scene = _Scene([_create_carrier("near", CUT)])
    scene.network.all_tunnels = http.NotSentError
    assert not any(scene.check_out(vm) for vm in scene.vms)
    assert scene.network.count_tunnels() == 1


def test_vm_that_is_not_listening_is_asked_on_one_path():
    """Guards against a VM that has ended and is taken for one behind a cut."""
    scene = _Scene([_create_carrier("near", CUT)])
    scene.network.direct[scene.vms[0].address] = http.RefusedError
    assert scene.check_out(scene.vms[0]) is None
    assert not scene.network.count_tunnels()


class _Answer:
    """A complete report of a VM."""

    def get_code(self):
        return 200

    def get_header(self, name):
        return None

    def is_complete(self):
        return True

    def pop_body(self):
        return msgspec.json.encode({"sequence": 3, "born": 0, "models": []})


class _SilentScene(_Scene):
    """A daemon that a single VM accepts but does not answer.

    Attributes:
        reaching: hosts of the carriers on whose connections the VM answers.
        has_direct_path: whether it answers on direct connections, too.
    """

    def __init__(self, peers, reaching):
        super().__init__(peers)
        self.network.direct.clear()
        self.reaching = reaching
        self.has_direct_path = False
        open_connection = self.network._open

        def open_with_answers(step, timeout, opened):
            opened.send = lambda method, data: None
            opened.receive = lambda left: self._receive(opened)
            opened.has_been_closed_by_peer = False
            return open_connection(step, timeout, opened)

        self.network._open = open_with_answers
        self.vm = self.vms[0]

    def _receive(self, opened):
        silent = opened.address == self.vm.address and (
            not self.has_direct_path
            if opened.carrier is None
            else opened.carrier.host not in self.reaching
        )
        if silent:
            self.daemon.clock.advance(engine.REPORT_TIMEOUT)
            raise http.NoResponseError("silent")
        return _Answer()

    def ask(self):
        return self.client.read_status(self.vm) is not None


def test_vm_that_does_not_answer_directly_is_asked_through_a_peer():
    """Guards against a sound head that is taken for ended by one daemon.

    Its VM and the path accept connections. The others of its failure domain
    answer, so that neither the service nor the domain counts as cut off.
    """
    scene = _SilentScene([_create_carrier("near", CUT)], {"near"})
    assert not scene.ask()
    for vm in scene.vms[1:9]:
        assert scene.client.read_status(vm) is not None
    assert scene.ask()
    assert scene.ask()
    scene.has_direct_path = True
    scene.daemon.clock.advance(detours.DIRECT_INTERVAL)
    assert scene.ask()
    assert scene.network.calls[-1][0] == "direct"


def test_vm_that_answers_nobody_is_asked_on_both_paths_by_turns():
    """Guards against a VM whose direct path is back and is not used."""
    scene = _SilentScene([_create_carrier("near", CUT)], set())
    assert not any(scene.ask() for _ in range(6))
    assert [call[0] for call in scene.network.calls] == ["direct", "near"] * 3


def test_silent_vm_of_a_lone_daemon_is_asked_directly():
    """Guards against calls that are lost where there is no peer."""
    scene = _SilentScene([], set())
    assert not scene.ask()
    scene.has_direct_path = True
    assert scene.ask()
