"""Command that runs one stand-in: `python -m arbutuscove.standins NAME`."""

import pathlib

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import click  # noqa: E402
import msgspec  # noqa: E402

from arbutuscove.standins import engine as engine_module  # noqa: E402
from arbutuscove.standins import forwarder as forwarder_module  # noqa: E402
from arbutuscove.standins import inventory as inventory_standin  # noqa: E402
from arbutuscove.standins import objects as objects_module  # noqa: E402
from arbutuscove.standins import plain as plain_module  # noqa: E402
from arbutuscove.standins import server  # noqa: E402
from arbutuscove.standins import table as table_module  # noqa: E402
from arbutuscove.standins import weights as weights_module  # noqa: E402
from arbutuscove.storage import http  # noqa: E402
from arbutuscove.storage import inventory as inventory_module  # noqa: E402

RECORD_TYPE = click.Path(path_type=pathlib.Path)


@click.group()
def main() -> None:
    """Runs one stand-in until SIGTERM."""


@main.command()
@click.option("--listen", required=True)
def table(listen: str) -> None:
    """Serves the table service."""
    server.serve(table_module.TableStandin().build_app(), listen)


@main.command()
@click.option("--listen", required=True)
def objects(listen: str) -> None:
    """Serves the object store."""
    server.serve(objects_module.ObjectStandin().build_app(), listen)


@main.command()
@click.option("--listen", required=True)
@click.option("--vms", required=True, help="JSON list of VMs.")
def inventory(listen: str, vms: str) -> None:
    """Serves the VM list."""
    vm_list = msgspec.json.decode(vms, type=list[inventory_module.Vm])
    server.serve(
        inventory_standin.InventoryStandin(vm_list).build_app(), listen
    )


@main.command()
@click.option("--listen", required=True)
@click.option("--concurrent", default=4)
@click.option("--seconds-per-load", default=0.1)
def weights(listen: str, concurrent: int, seconds_per_load: float) -> None:
    """Serves the weight store."""
    standin = weights_module.WeightStandin(concurrent, seconds_per_load)
    server.serve(standin.build_app(), listen)


@main.command()
@click.option("--listen", required=True)
@click.option("--name", required=True)
@click.option("--record", type=RECORD_TYPE)
def plain(listen: str, name: str, record: pathlib.Path | None) -> None:
    """Serves a plain service."""
    server.serve(plain_module.PlainStandin(name, record).build_app(), listen)


@main.command()
@click.option("--listen", required=True)
@click.option("--vm", required=True)
@click.option("--check-fencing/--ignore-fencing", default=True)
@click.option("--slots", default=8)
@click.option("--token-interval", default=0.005)
@click.option("--load-seconds", default=0.2)
@click.option("--weights", default="")
@click.option("--record", type=RECORD_TYPE)
def engine(
    listen: str,
    vm: str,
    check_fencing: bool,
    slots: int,
    token_interval: float,
    load_seconds: float,
    weights: str,
    record: pathlib.Path | None,
) -> None:
    """Serves the model engine of one VM."""
    settings = engine_module.Settings(
        vm=vm,
        check_fencing=check_fencing,
        slots=slots,
        token_interval=token_interval,
        load_seconds=load_seconds,
        weights=weights,
        record=record,
    )
    server.serve(engine_module.EngineStandin(settings).build_app(), listen)


@main.command()
@click.option("--listen", required=True, help="Address for commands.")
@click.option("--forward", required=True, help="Address to accept on.")
@click.option("--target", required=True)
def forwarder(listen: str, forward: str, target: str) -> None:
    """Forwards TCP connections and fails on command."""
    running = forwarder_module.Forwarder(
        http.Address.parse(forward), http.Address.parse(target)
    )
    running.start()
    standin = forwarder_module.ForwarderStandin(running)
    server.serve(standin.build_app(), listen)


if __name__ == "__main__":
    main()
