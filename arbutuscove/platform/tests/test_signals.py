"""Guards against signals that end a daemon without a drain."""

import os
import signal
import subprocess
import sys

import click.testing

from arbutuscove.daemon import main as daemon_main

# Sends SIGHUP before each import that the start of the daemon makes.
START = """
import os, runpy, signal, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("arbutuscove.platform.") and "__main__" not in name:
            os.kill(os.getpid(), signal.SIGHUP)

import arbutuscove.platform
sys.meta_path.insert(0, Sender())
sys.argv = ["daemon", "--version"]
runpy.run_module("arbutuscove.platform", run_name="__main__")
"""


def test_reload_signal_during_the_start_does_not_end_the_daemon():
    """Guards against a daemon that ends by a SIGHUP while it starts."""
    result = subprocess.run(
        [sys.executable, "-c", START],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result


def test_reload_signal_does_not_end_the_own_interface():
    """Guards against `arbutuscoved` ending without a drain by a SIGHUP."""
    former = signal.getsignal(signal.SIGHUP)
    try:
        # Ends with invalid settings, after the signal was ignored.
        result = click.testing.CliRunner().invoke(daemon_main.main, ["serve"])
        assert result.exit_code == daemon_main.EXIT_INVALID_SETTINGS
        assert signal.getsignal(signal.SIGHUP) == signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, former)
