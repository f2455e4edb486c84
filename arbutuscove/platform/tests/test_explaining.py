"""Guards against questions for a route that stop or mislead an operator."""

import json
import types

import hypothesis
import pytest
from click import testing
from hypothesis import strategies

from arbutuscove.crashes import traits
from arbutuscove.crashes.tests import test_tracker
from arbutuscove.platform import explaining
from arbutuscove.platform.tests import test_configuration
from arbutuscove.relay.tests import test_domains
from arbutuscove.storage import http
from arbutuscove.tool import calls
from arbutuscove.tool import main
from arbutuscove.tool import routes

ROUTE = test_configuration.ROUTE | {"service": "models"}
TENANTS = [{"name": "x", "api_keys": ["k1"], "priority": 2}]
QUERY = "host=h.example&path=/a/b&account=x&prompt_tokens=700"


class Scene(test_domains.Scene):
    """An explainer in domain a before one upstream in each domain."""

    def __init__(self, catalog=None, **fields):
        super().__init__(by_domain={"a": {}, "b": {}, "c": {}}, **fields)
        self.crashes = test_tracker.Daemon(self.clock)
        self.explainer = explaining.Explainer(
            self.clock,
            http.Address("127.0.0.1", 1),
            self.catalog,
            self.dispatcher,
            self.crashes.tracker,
        )
        self.catalog.apply_if_newer(
            catalog
            or test_configuration.decode(
                ROUTE,
                services=[{"name": "models"}],
                tenants=TENANTS,
            ),
            "test",
        )

    def ask(self, query=QUERY, path=explaining.PATH, method="GET", key=""):
        """Returns the status and the body of an answer."""
        heads = []
        body = b"".join(
            self.explainer.serve(
                {
                    "PATH_INFO": path,
                    "REQUEST_METHOD": method,
                    "QUERY_STRING": query,
                    "HTTP_AUTHORIZATION": key,
                },
                lambda status, fields: heads.append(status),
            )
        )
        (head,) = heads
        return int(head.split()[0]), json.loads(body)


def test_answer_has_all_that_decides():
    """Guards against an explanation that leaves out what it depends on."""
    status, found = Scene().ask()
    assert status == 200
    assert found["verdict"] == {
        "verdict": "sent",
        "backend": "vm-a",
        "vm": "vm-a",
        "failure_domain": "a",
    }
    assert (found["route"], found["service"]) == ("r", "models")
    assert (found["account"], found["priority"]) == ("x", 2)
    assert found["list_age"] is not None
    assert found["slots"]["total"] == 3 * test_domains.SLOTS
    assert [option["state"] for option in found["options"]] == ["usable"] * 3
    assert found["reasons"]


@pytest.mark.parametrize(
    ("query", "key", "expected"),
    [
        ("host=h.example&path=/a/b", "", (401, "unknown_key")),
        ("host=h.example&path=/a/b", "Token k9", (401, "unknown_key")),
        ("host=h.example&path=/b&account=x", "", (404, "no_route")),
        ("host=other&account=x", "", (404, "no_route")),
    ],
)
def test_request_that_reaches_no_service_is_explained(query, key, expected):
    """Guards against an error in place of the refusal that callers get."""
    status, found = Scene().ask(query, key=key)
    assert status == 200
    verdict = found["verdict"]
    assert (verdict["status"], verdict["code"]) == expected


def test_key_names_the_account():
    """Guards against a key that is right for callers and not for operators."""
    _, found = Scene().ask("host=h.example&path=/a/b", key="Token k1")
    assert found["account"] == "x"
    assert found["verdict"]["verdict"] == "sent"


def test_request_with_a_part_that_crashes_upstreams_is_refused():
    """Guards against a backend that is named for a refused request.

    The look begins no trial of the part.
    """
    scene = Scene()
    for number, name in enumerate(("v1", "v2")):
        vm = test_tracker.create_vm(name)
        scene.crashes.lose(f"r{number}", vm, ("bad",))
    key = traits.hash_part("bad")
    assert key in scene.crashes.evidence.culprits
    _, found = scene.ask(QUERY + "&prompt_part=bad")
    verdict = found["verdict"]
    assert verdict["code"] == "request_quarantined"
    assert verdict["retry_after"] > 0
    assert not scene.crashes.tracker._trials


@pytest.mark.parametrize(
    "query",
    [
        "",
        "path=/a/b",
        "host=h&host=i",
        "host=h&prompt_tokens=-1",
        "host=h&prompt_tokens=many",
        "host=h&deadline_ms=0",
        "host=h&color=red",
        "host=" + "h" * 300,
        "&".join(["host=h", *["prompt_part=p"] * 40]),
        "&".join(["host=h", *["prompt_part=p"] * 90]),
        "host=%ff",
        "host=h.example&path=/a/b&account=none",
        "host=h.example&path=/a/b&account=x&service=none",
    ],
)
def test_wrong_question_is_told(query):
    """Guards against an answer to another question than the operator's."""
    status, found = Scene().ask(query)
    assert status == 400
    assert found["message"]


@hypothesis.given(strategies.text(max_size=60))
def test_any_query_gets_an_answer(query):
    """Guards against a query that ends the daemon's loop."""
    status, _ = Scene().ask(query)
    assert status in (200, 400)


def test_other_paths_and_methods_are_refused():
    """Guards against an internal address that serves more than questions."""
    scene = Scene()
    assert scene.ask(path="/a/b")[0] == 404
    assert scene.ask(method="POST")[0] == 405


def test_daemon_without_configuration_says_so():
    """Guards against a question that ends a daemon that has just started."""
    scene = Scene()
    scene.catalog = types.SimpleNamespace(get_current=lambda: None)
    scene.explainer._catalog = scene.catalog
    assert scene.ask()[1]["verdict"]["code"] == "no_configuration"


def invoke(monkeypatch, scene, *options):
    """Returns the result of the command against an explainer."""

    class Client:
        def __init__(self, address, timeout):
            assert address == http.Address("10.0.1.2", 7341)
            del timeout

        def send(self, method, path, body, fields):
            assert body is None
            path, _, query = path.partition("?")
            status, found = scene.ask(
                query, path, method, fields.get("Authorization", "")
            )
            return types.SimpleNamespace(status=status, json=lambda: found)

    monkeypatch.setattr(routes.http, "JsonClient", Client)
    return testing.CliRunner().invoke(
        main.main,
        ["explain-route", "--address", "10.0.1.2:7341", *options],
    )


def test_command_prints_the_verdict_and_the_backends(monkeypatch):
    """Guards against a command that asks or shows something else."""
    options = ("--host", "h.example", "--path", "/a/b", "--key", "k1")
    result = invoke(monkeypatch, Scene(), *options)
    assert result.exit_code == 0, result.output
    assert result.output.startswith("goes to vm-a (VM vm-a, failure domain a)")
    assert "  because " in result.output
    result = invoke(monkeypatch, Scene(), *options, "--json")
    assert json.loads(result.output)["account"] == "x"


def test_command_says_what_is_wrong(monkeypatch):
    """Guards against a wrong question that looks like a refused request."""
    options = ("--host", "h.example", "--path", "/a/b", "--account", "none")
    result = invoke(monkeypatch, Scene(), *options)
    assert result.exit_code == calls.EXIT_REFUSED
    assert "no account none" in result.output


def test_command_tells_an_unreachable_daemon():
    """Guards against a trace in place of a message.

    Port 1 of the loopback address accepts no connections.
    """
    result = testing.CliRunner().invoke(
        main.main, ["explain-route", "--address", "127.0.0.1:1", "--host", "h"]
    )
    assert result.exit_code == calls.EXIT_UNREACHABLE
    result = testing.CliRunner().invoke(
        main.main, ["explain-route", "--address", "nothing", "--host", "h"]
    )
    assert result.exit_code == 2


def test_a_used_address_does_not_stop_the_daemon():
    """Guards against a daemon that does not start for a tool's address."""
    first, second = Scene().explainer, Scene().explainer
    first._address = http.Address("127.0.0.1", 0)
    first.start(None)
    second._address = http.Address("127.0.0.1", first._server.server_port)
    second.start(None)
    assert second._server is None
    second.stop()
    first.stop()


def test_command_reaches_a_daemon():
    """Guards against a question that the server reads otherwise."""
    explainer = Scene().explainer
    explainer._address = http.Address("127.0.0.1", 0)
    explainer.start(None)
    try:
        port = explainer._server.server_port
        options = ["--host", "h.example", "--path", "/a/b?q=1&r=%20"]
        options += ["--key", "k1", "--prompt-part", "p", "--prompt-part", "q"]
        result = testing.CliRunner().invoke(
            main.main,
            ["explain-route", "--address", f"127.0.0.1:{port}", *options],
        )
    finally:
        explainer.stop()
    assert result.exit_code == 0, result.output
    assert result.output.startswith("goes to vm-a")
