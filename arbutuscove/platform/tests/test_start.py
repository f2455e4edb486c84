"""Guards against a daemon that ends while it starts."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[3]
# Takes the place of the first module that the program imports.
SIGNALLED_IMPORT = """
import os
import signal
import sys

os.kill(os.getpid(), signal.SIGHUP)
sys.exit(0)
"""


def test_signal_to_read_settings_does_not_end_a_starting_daemon(tmp_path):
    """Guards against SIGHUP that ends a daemon before it can handle it."""
    package = tmp_path / "gevent"
    package.mkdir()
    (package / "__init__.py").write_text(SIGNALLED_IMPORT)
    environment = dict(os.environ, PYTHONPATH=f"{tmp_path}:{ROOT}")
    result = subprocess.run(
        [sys.executable, "-m", "arbutuscove.platform"],
        env=environment,
        check=False,
        cwd=ROOT,
    )
    assert result.returncode == 0
