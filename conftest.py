"""Test setup: gevent, reproducible cases, marks, known failures."""

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
import subprocess  # noqa: E402

import hypothesis  # noqa: E402
import pytest  # noqa: E402

# Files and folders whose tests start processes. bin/test runs them one after
# the other, apart from all others.
PROCESS_TESTS = (
    "arbutuscove/admin/tests/test_api.py",
    "arbutuscove/peers/tests/test_bounds.py",
    "arbutuscove/peers/tests/test_silent_peer.py",
    "arbutuscove/platform/tests/test_signals.py",
    "arbutuscove/platform/tests/test_start.py",
    "arbutuscove/requests/tests/test_crash.py",
    "arbutuscove/standins/tests/",
    "arbutuscove/tool/tests/test_documents.py",
    "soak/tests/",
)
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


def pytest_configure(config):
    """Declares the mark of tests that start processes."""
    config.addinivalue_line("markers", "processes: the test starts processes")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    """Fails a test that starts a process without the mark."""
    with pytest.MonkeyPatch.context() as patch:
        if item.get_closest_marker("processes") is None:
            patch.setattr(subprocess.Popen, "__init__", _reject_process)
        return (yield)


def _reject_process(*arguments, **options):
    raise AssertionError("list this test in PROCESS_TESTS of conftest.py")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Marks the tests with processes; deselects those of KNOWN-RED.txt."""
    for item in items:
        if item.nodeid.startswith(PROCESS_TESTS):
            item.add_marker("processes")
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
