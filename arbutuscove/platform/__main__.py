"""The daemon on the platform: `python3 -m arbutuscove.platform`."""

# Modules that use sockets have to be imported after the patch.
# ruff: noqa: E402
import signal

# By default, a SIGHUP would end a process that is still importing. The settings
# are read later, so that it loses nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import gc
import sys

import click
import eliot
import gevent
from gevent import event

import arbutuscove
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import output as log_output
from arbutuscove.platform import assembly
from arbutuscove.platform import settings as settings_module

EXIT_SETTINGS = 2
# Collections of the oldest generation block the event loop for milliseconds, so
# they are made rare. Objects that exist after the start live as long as the
# process and are excluded from collections.
GC_THRESHOLDS = (5000, 20, 50)


@click.group(invoke_without_command=True)
@click.version_option(arbutuscove.__version__)
@click.pass_context
def main(context: click.Context) -> None:
    """Serves until SIGTERM, then drains and exits.

    The settings file is named by an environment variable.
    """
    if context.invoked_subcommand is None:
        serve()


@main.command("check-settings")
def check_settings() -> None:
    """Reads the settings file; exit code 2 if it is wrong."""
    _read_settings()
    click.echo("settings are valid")


def serve() -> None:
    """Serves until SIGTERM, then drains and returns."""
    settings = _read_settings()
    eliot.add_global_fields(process=settings.name)
    output = log_output.LineOutput(
        sys.stdout.fileno(), clock_module.SystemClock()
    )
    output.start()
    eliot.add_destinations(output.enqueue)
    kernel = assembly.build_kernel(settings)
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.signal_handler(signal.SIGHUP, _reload)
    kernel.start()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    eliot.log_message("daemon:started", callers=str(settings.caller_address))
    stopped.wait()
    eliot.log_message("daemon:draining")
    kernel.drain()
    kernel.stop()
    eliot.log_message("daemon:stopped")
    output.stop()


def _reload() -> None:
    """Checks the changed settings; addresses change only at the next start."""
    try:
        settings_module.read()
    except settings_module.SettingsError as error:
        eliot.log_message("daemon:settings_wrong", reason=str(error))
        return
    eliot.log_message("daemon:settings_read")


def _read_settings() -> settings_module.Settings:
    try:
        return settings_module.read()
    except settings_module.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
