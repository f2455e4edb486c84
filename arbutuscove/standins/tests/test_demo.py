"""Guards against a failure anywhere between caller and upstream."""

from click import testing

from arbutuscove.standins import demo


def test_demo_serves_every_kind_of_request():
    """The documented demo must work on a fresh checkout."""
    result = testing.CliRunner().invoke(demo.main, [])
    assert result.exit_code == 0, result.output
