"""Command line of `arbutuscoved`."""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import signal  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402

import click  # noqa: E402
import eliot  # noqa: E402
import gevent  # noqa: E402
from gevent import event  # noqa: E402
from grpc.experimental import gevent as grpc_gevent  # noqa: E402

import arbutuscove  # noqa: E402
from arbutuscove.daemon import assembly  # noqa: E402
from arbutuscove.daemon import settings as settings_module  # noqa: E402
from arbutuscove.observe import logs  # noqa: E402

EXIT_INVALID_SETTINGS = 2

OPTIONS = (
    click.option(
        "--name", envvar="ARBUTUSCOVE_NAME", help="Unique name of this daemon."
    ),
    click.option(
        "--region", envvar="ARBUTUSCOVE_REGION", help="Region of this VM."
    ),
    click.option(
        "--failure-domain",
        envvar="ARBUTUSCOVE_FAILURE_DOMAIN",
        help="Failure domain of this VM.",
    ),
    click.option(
        "--listen",
        envvar="ARBUTUSCOVE_LISTEN",
        help="Address for callers, host:port.",
    ),
    click.option(
        "--admin-listen",
        envvar="ARBUTUSCOVE_ADMIN_LISTEN",
        help="Address for operators.",
    ),
    click.option(
        "--peer-listen",
        envvar="ARBUTUSCOVE_PEER_LISTEN",
        help="Address for other daemons.",
    ),
    click.option(
        "--tunnel-listen",
        envvar="ARBUTUSCOVE_TUNNEL_LISTEN",
        default="",
        help="Address to carry other daemons' connections to upstreams on; "
        "none are carried by default.",
    ),
    click.option(
        "--advertise",
        envvar="ARBUTUSCOVE_ADVERTISE",
        default="",
        help="Address that callers are given; --listen by default.",
    ),
    click.option(
        "--peer-advertise",
        envvar="ARBUTUSCOVE_PEER_ADVERTISE",
        default="",
        help="Address that peers are given; --peer-listen by default.",
    ),
    click.option(
        "--peers",
        envvar="ARBUTUSCOVE_PEERS",
        default="",
        help="Peer addresses, separated by commas.",
    ),
    click.option(
        "--table",
        envvar="ARBUTUSCOVE_TABLE",
        help="Address of the table service.",
    ),
    click.option(
        "--objects",
        envvar="ARBUTUSCOVE_OBJECTS",
        help="Address of the object store.",
    ),
    click.option(
        "--inventory",
        envvar="ARBUTUSCOVE_INVENTORY",
        help="Address of the VM list.",
    ),
    click.option(
        "--resume-secret",
        envvar="ARBUTUSCOVE_RESUME_SECRET",
        help="Secret shared by all daemons; signs tokens.",
    ),
    click.option(
        "--admin-key-digest",
        envvar="ARBUTUSCOVE_ADMIN_KEY_DIGEST",
        help="SHA-256 of the first operator's key.",
    ),
    click.option(
        "--keep-seconds",
        envvar="ARBUTUSCOVE_KEEP_SECONDS",
        type=float,
        default=30.0,
        show_default=True,
        help="How long callers may keep an entry address, in seconds.",
    ),
    click.option(
        "--memory-mb",
        envvar="ARBUTUSCOVE_MEMORY_MB",
        type=int,
        default=settings_module.DEFAULT_MEMORY_MB,
        show_default=True,
        help="Memory that the daemon may use, in megabytes; bounds what it "
        "holds for callers.",
    ),
)


def _add_options(function: typing.Any) -> typing.Any:
    for option in reversed(OPTIONS):
        function = option(function)
    return function


@click.group()
@click.version_option(arbutuscove.__version__)
def main() -> None:
    """The arbutuscove daemon.

    Each flag can also be set by an environment variable, for example
    ARBUTUSCOVE_LISTEN for --listen.

    Example: arbutuscoved serve --name entry-1 --listen 10.0.0.1:8000 ...
    """


@main.command("serve", context_settings={"show_default": True})
@_add_options
def serve(**values: typing.Any) -> None:
    """Serves until SIGTERM, then drains and exits."""
    # By default it would end the process without a drain.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = _read_settings(values)
    _exit_on_faults(settings)
    logs.configure(settings.name)
    grpc_gevent.init_gevent()
    kernel = assembly.build_kernel(settings)
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    kernel.start()
    eliot.log_message("daemon:started", listen=settings.listen)
    stopped.wait()
    eliot.log_message("daemon:draining")
    kernel.drain()
    kernel.stop()
    eliot.log_message("daemon:stopped")


@main.command("check-settings")
@_add_options
def check_settings(**values: typing.Any) -> None:
    """Lists all faults of the settings; exit code 2 if there are any."""
    _exit_on_faults(_read_settings(values))
    click.echo("settings are valid")


def _read_settings(
    values: dict[str, typing.Any],
) -> settings_module.Settings:
    options: dict[str, typing.Any] = {
        key: value or "" for key, value in values.items()
    }
    peers = options["peers"].split(",")
    options["peers"] = tuple(peer.strip() for peer in peers if peer.strip())
    options["advertise"] = options["advertise"] or options["listen"]
    options["peer_advertise"] = (
        options["peer_advertise"] or options["peer_listen"]
    )
    options["keep_seconds"] = float(values["keep_seconds"])
    options["memory_mb"] = int(values["memory_mb"])
    return settings_module.Settings(**options)


def _exit_on_faults(settings: settings_module.Settings) -> None:
    faults = settings_module.validate(settings)
    for fault in faults:
        click.echo(str(fault), err=True)
    if faults:
        sys.exit(EXIT_INVALID_SETTINGS)


if __name__ == "__main__":
    main()
