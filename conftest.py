"""Test setup: gevent, reproducible cases, deselection of known failures."""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import os  # noqa: E402

# gRPC reads this variable when it is loaded. Its fork handlers would start a
# poller in the child process; gevent then closes all descriptors before it
# executes the new program, and in 1 of 100 process starts the poller aborted
# the child with SIGABRT.
os.environ["GRPC_ENABLE_FORK_SUPPORT"] = "0"

import pathlib  # noqa: E402

import hypothesis  # noqa: E402
import pytest  # noqa: E402

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
KNOWN_RED_KEY = pytest.StashKey[list[str]]()

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
# bin/fuzz passes a seed, which derandomize=True would ignore.
hypothesis.settings.register_profile(
    "fuzz", derandomize=False, deadline=None, database=None
)
hypothesis.settings.load_profile(
    os.environ.get("ARBUTUSCOVE_HYPOTHESIS_PROFILE", "ci")
)


def pytest_addoption(parser):
    """Adds the option that also runs the tests with known failures."""
    parser.addoption(
        "--known-red",
        action="store_true",
        help="also run the tests that KNOWN-RED.txt lists",
    )


def pytest_collection_modifyitems(config, items):
    """Deselects exactly the tests that KNOWN-RED.txt lists."""
    listed_ids = _read_known_red()
    known_items = [item for item in items if item.nodeid in listed_ids]
    config.stash[KNOWN_RED_KEY] = [item.nodeid for item in known_items]
    if known_items and not config.getoption("--known-red"):
        items[:] = [item for item in items if item.nodeid not in listed_ids]
        config.hook.pytest_deselected(items=known_items)


def pytest_terminal_summary(terminalreporter, config):
    """Prints the known failures, so that a passing run does not hide them."""
    for nodeid in config.stash.get(KNOWN_RED_KEY, []):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {nodeid}")


def _read_known_red():
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test: ").strip()
        for line in lines
        if line.startswith("test: ")
    }
