"""Guards against log lines of a request that `explain` does not find."""

import json

from click import testing

from arbutuscove.tool import main


def write_lines(path, *messages, prefix=""):
    """Writes a log file as daemons do, with the prefix of a log collector."""
    lines = [prefix + json.dumps(message) for message in messages]
    path.write_text("\n".join([*lines, "not JSON {", ""]))
    return str(path)


def test_explain_reads_logs_of_several_daemons(tmp_path):
    """Guards against steps that are out of order or of a single daemon."""
    first = write_lines(
        tmp_path / "a.log",
        {
            "request_id": "7a",
            "message_type": "flow:repeat",
            "reason": "m0~5 moves nothing",
            "timestamp": 20.5,
            "process": "a",
        },
        {"request_id": "7a1", "message_type": "other", "timestamp": 1},
    )
    second = write_lines(
        tmp_path / "b.log",
        {
            "request_id": "7a",
            "message_type": "flow:placed",
            "backend": "m0~5",
            "timestamp": 10.25,
            "process": "b",
        },
        prefix="  10.2500 b ",
    )
    result = testing.CliRunner().invoke(
        main.main, ["explain", "--log", first, "--log", second, "7a"]
    )
    assert result.exit_code == 0, result.output
    placed, repeat = result.output.splitlines()[-2:]
    assert "flow:placed" in placed and "b: backend=m0~5" in placed
    assert "flow:repeat" in repeat and "moves nothing" in repeat
    assert "other" not in result.output


def test_explain_says_that_no_line_names_the_request(tmp_path):
    """Guards against an empty table, as for a request without steps."""
    path = write_lines(tmp_path / "a.log", {"request_id": "x"})
    result = testing.CliRunner().invoke(
        main.main, ["explain", "--log", path, "7a"]
    )
    assert result.exit_code == 1
    assert "no line names request 7a" in result.output
