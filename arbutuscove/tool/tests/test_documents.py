"""Guards against documentation that no longer matches the code."""

import ast
import os
import pathlib
import re
import subprocess

import pytest

from arbutuscove.entry import reasons
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.tool import reference

ROOT = pathlib.Path(__file__).parents[3]
PACKAGE = ROOT / "arbutuscove"
CALLER_PACKAGES = ("admission", "entry", "limits", "requests", "routing")


@pytest.mark.parametrize("name", sorted(reference.build_pages()))
def test_reference_pages_are_current(name):
    """Pages that differ from the code mislead operators."""
    committed = (ROOT / "docs" / "reference" / name).read_text()
    assert committed == reference.build_pages()[name], "run bin/reference"


def _find_codes(path):
    codes = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        for keyword in node.keywords:
            if keyword.arg == "code" and isinstance(
                keyword.value, ast.Constant
            ):
                codes.add(keyword.value.value)
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        positional = node.args[1:2]
        if name in ("BadRequestError", "_fail") and positional:
            codes.add(getattr(positional[0], "value", None))
    return codes - {None}


def test_reason_codes_are_all_documented():
    """A caller must be able to look up each code that it can receive."""
    codes = set()
    for package in CALLER_PACKAGES:
        for path in (PACKAGE / package).glob("*.py"):
            if path.name != "reasons.py":
                codes |= _find_codes(path)
    assert codes - {reason.code for reason in reasons.REASONS} == set()


def test_readme_tour_commands_work(tmp_path):
    """The commands of the tour in README.md must succeed."""
    blocks = re.findall(
        r"```console\n(.*?)```", (ROOT / "README.md").read_text(), re.S
    )
    commands = [
        line.removeprefix("$ ")
        for block in blocks
        for line in block.splitlines()
    ]
    cluster = cluster_module.Cluster(tmp_path, cluster_module.Layout())
    try:
        cluster.start()
        demo.create_services(cluster)
        demo.wait_until_serving(cluster)
        script = "set -eo pipefail\n" + "\n".join(commands)
        result = subprocess.run(
            ["bash", "-c", script.replace("curl -sS", "curl --fail -sS")],
            env={**os.environ, **demo.list_access(cluster)},
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
    finally:
        cluster.stop()
    assert result.returncode == 0, result.stderr
    assert "data: [DONE]" in result.stdout
    assert "configuration.accepted" in result.stdout


def test_packages_import_only_what_the_design_page_lists_before_them():
    """Packages with a cyclic import cannot be understood separately."""
    page = (ROOT / "docs" / "design.md").read_text()
    section = page.partition("## 4.")[2].partition("## 5.")[0]
    order = re.findall(r"^\| `(\w+)` \|", section, re.M)
    assert set(order) == {
        path.parent.name for path in PACKAGE.glob("*/__init__.py")
    }
    for package in order:
        for path in (PACKAGE / package).glob("*.py"):
            names = re.findall(
                r"^from arbutuscove\.(\w+)", path.read_text(), re.M
            )
            later = [n for n in names if order.index(n) > order.index(package)]
            assert not later, (path, later)
