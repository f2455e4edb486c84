"""Test set-up: one event loop, and reproducible generated cases."""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import hypothesis  # noqa: E402

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")
