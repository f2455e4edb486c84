"""Guards against a prompt part that crashes one group after the other."""

import pytest

from soak import crashing


@pytest.mark.parametrize("has_server_links", [False, True])
def test_crashing_prompt_part_reaches_no_server_after_five_crashes(
    tmp_path, has_server_links
):
    """Guards against equal prompt parts that crash group after group.

    With links, a connection to a crashed server is accepted and then closed.
    """
    report = crashing.run_seed(
        tmp_path, 91 + has_server_links, has_server_links
    )
    assert not report.list_broken(), report
