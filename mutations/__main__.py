"""Applies each mutation to a scratch copy and runs its test there.

Exit code 1 if a mutation goes unnoticed, does not apply, or its test fails
without it.
"""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import click

from mutations import catalog

ROOT = pathlib.Path(__file__).parents[1]
COPIED = ("arbutuscove", "examples", "conftest.py", "pyproject.toml")
WORKERS = 4  # copies at a time
TEST_SECONDS = 120.0
TESTS_FAILED = 1  # exit code of pytest when it ran and a test failed


def run_test(tree: pathlib.Path, tests: list[str]) -> int:
    """Returns pytest's exit code for tests in a copy of the tree."""
    command = [sys.executable, "-m", "pytest", "-q", "-x"]
    command += [f"arbutuscove/{test}" for test in tests]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    done = subprocess.run(
        command,
        cwd=tree,
        env=environment,
        capture_output=True,
        timeout=TEST_SECONDS,
        check=False,
    )
    return done.returncode


def try_mutation(base: pathlib.Path, number: int) -> str:
    """Returns "" if the mutation's test fails, else what is wrong."""
    mutation = catalog.MUTATIONS[number]
    tree = base / str(number)
    shutil.copytree(base / "clean", tree)
    path = tree / "arbutuscove" / mutation.path
    source = path.read_text()
    if source.count(mutation.old) != 1:
        return f"`old` occurs {source.count(mutation.old)} times"
    path.write_text(source.replace(mutation.old, mutation.new))
    code = run_test(tree, [mutation.test])
    return "" if code == TESTS_FAILED else f"unnoticed: pytest exit {code}"


@click.command()
def main() -> None:
    """Shows that each mechanism is guarded by a test that fails without it."""
    with tempfile.TemporaryDirectory() as directory:
        base = pathlib.Path(directory)
        clean = base / "clean"
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, clean / name, ignore=ignored)
            else:
                shutil.copy(source, clean / name)
        tests = sorted({m.test for m in catalog.MUTATIONS})
        if run_test(clean, tests) != 0:
            click.echo("the tests fail without a mutation", err=True)
            sys.exit(1)
        numbers = range(len(catalog.MUTATIONS))
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            found = list(pool.map(lambda n: try_mutation(base, n), numbers))
    for mutation, fault in zip(catalog.MUTATIONS, found, strict=True):
        click.echo(f"{fault or 'noticed'}: {mutation.promise}")
    unnoticed = sum(bool(fault) for fault in found)
    click.echo(f"{len(found) - unnoticed} of {len(found)} noticed")
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
