"""Guards against a crashing request, with daemons and engines as processes."""

import pytest

from arbutuscove.entry import headers
from arbutuscove.requests import quarantine
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins import engine

MAX_CRASHES_BY_A_PART = 5  # as stated by the users


@pytest.fixture(name="cluster")
def fixture_cluster(tmp_path):
    layout = cluster_module.Layout(vms=12)
    cluster = cluster_module.Cluster(tmp_path, layout)
    try:
        cluster.start()
        demo.create_services(cluster)
        demo.wait_until_serving(cluster)
        yield cluster
    finally:
        cluster.stop()


def test_crash_of_engines_ends_after_two(cluster):
    """A request sent to all daemons under new keys crashes two at most."""
    text = "please " + engine.CRASH_MARKER
    codes = []
    for number in range(9):
        extra = {}
        if number % 2:
            extra[headers.REPEAT] = headers.NEVER
            extra[headers.IDEMPOTENCY_KEY] = f"key-{number}"
        daemon = number % cluster.layout.daemons
        reply = demo.send_chat(cluster, text, extra, daemon=daemon)
        codes.append(reply.json()["error"]["code"])
    ran = [entry for entry in cluster.read_record() if "ran" in entry]
    assert 1 <= len(ran) <= quarantine.DEATHS_TO_QUARANTINE
    assert codes[-1] in ("request_quarantined", "request_suspected")


def test_crash_of_engines_by_a_shared_message_ends_after_five(cluster):
    """Guards against a system message that crashes replica after replica.

    No two requests are equal, so a record of whole requests finds nothing.
    """
    codes = []
    for number in range(24):
        reply = demo.send_chat(
            cluster,
            f"question {number}",
            daemon=number % cluster.layout.daemons,
            system="please " + engine.CRASH_MARKER,
        )
        codes.append(reply.json()["error"]["code"])
    ran = [entry for entry in cluster.read_record() if "ran" in entry]
    assert 1 <= len(ran) <= MAX_CRASHES_BY_A_PART, codes
    assert codes[-1] == "request_quarantined"
    # Until then the lost replicas may still be listed.
    cluster_module.wait_for(
        "a sound request to be answered",
        lambda: (
            demo.send_chat(cluster, "question", system="please be brief").status
            == 200
        ),
    )
