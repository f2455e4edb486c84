"""A small fleet with several daemons, for the tests of this package."""

import dataclasses
import datetime

from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import model
from arbutuscove.standins import fleet as fleet_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import inventory

ACCELERATORS = 4  # of each VM


def build_service(name="chat", worth=1.0, approved=1000, **backend):
    rank = config_model.Rank(
        name="bid",
        priority=0,
        worth=worth,
        first_token_target=datetime.timedelta(seconds=1),
        floor_share=0.5,
    )
    given = {"model": "m1", "vms_per_replica": 2, "replicas": 2, **backend}
    return config_model.Service(
        name=name,
        team="team",
        ranks=(rank,),
        accounts=(),
        limits=config_model.Limits(accelerators=approved),
        model=config_model.ModelBackend(**given),
    )


def build_vms(sizes):
    """Returns VMs named by domain and number, as in "a0"."""
    return [
        inventory.Vm(
            name=f"{domain}{number}",
            address=f"{domain}{number}:1",
            fabric_domain=domain,
            failure_domain=domain,
            accelerators=ACCELERATORS,
        )
        for domain, size in sizes.items()
        for number in range(size)
    ]


class World:
    """Table, VMs and daemons on one manual clock."""

    def __init__(
        self, sizes, services, daemons=1, check_fencing=True, table=None
    ):
        self.clock = clock_module.ManualClock()
        self.table = table or table_standin.MemoryTable()
        self.fleet = fleet_module.Fleet(
            self.clock, build_vms(sizes), check_fencing
        )
        for service in services:
            fleet_module.accept(self.table, self.clock, service)
        self.daemons = [
            fleet_module.Daemon(f"d{n}", self.clock, self.table, self.fleet)
            for n in range(daemons)
        ]

    def advance(self, seconds, paused=()):
        """Runs all daemons but the paused ones, in steps of a second."""
        for _ in range(seconds):
            self.clock.advance(datetime.timedelta(seconds=1))
            for daemon in self.daemons:
                if daemon not in paused:
                    daemon.observe()
                    daemon.renew()
                    daemon.control()

    def rows(self):
        table_rows = self.table.scan(model.REPLICA_PREFIX)
        return [row.decode(model.ReplicaRow) for row in table_rows]

    def capacity(self, service="chat"):
        row = self.table.read(model.CAPACITY_PREFIX + service)
        return row.decode(model.CapacityRow)

    def serving(self, service="chat", daemon=0):
        return self.daemons[daemon].directory.list_serving(service)

    def set_leaving(self, name):
        vm = self.fleet.vms[name]
        leaving = inventory.VmState.LEAVING
        vm.vm = dataclasses.replace(vm.vm, state=leaving)
