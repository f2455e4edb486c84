"""Applies each mutation to a temporary copy and runs its test there.

The exit code is 1 if a test does not fail under its mutation, if a mutation
cannot be applied, or if a test fails without a mutation.
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
COPIED_PATHS = ("arbutuscove", "examples", "conftest.py", "pyproject.toml")
WORKER_COUNT = 4  # concurrent test runs, each in its own copy
TEST_TIMEOUT_SECONDS = 120.0
PYTEST_TESTS_FAILED = 1  # exit code of pytest if a test failed


def run_tests(tree: pathlib.Path, tests: list[str]) -> int:
    """Runs tests in a copy of the source tree.

    Args:
        tree: root of the copy.
        tests: test IDs, relative to the package `arbutuscove`.

    Returns:
        Exit code of pytest.

    Raises:
        subprocess.TimeoutExpired: after `TEST_TIMEOUT_SECONDS`.
    """
    command = [sys.executable, "-m", "pytest", "-q", "-x"]
    command += [f"arbutuscove/{test}" for test in tests]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    completed = subprocess.run(
        command,
        cwd=tree,
        env=environment,
        capture_output=True,
        timeout=TEST_TIMEOUT_SECONDS,
        check=False,
    )
    return completed.returncode


def check_mutation(base: pathlib.Path, number: int) -> str:
    """Applies one mutation in a new copy and runs its test.

    Args:
        base: directory with the unmodified copy, "clean".
        number: index of the mutation in the catalog.

    Returns:
        Description of the problem, or "" if the test fails as it must.
    """
    mutation = catalog.MUTATIONS[number]
    tree = base / str(number)
    shutil.copytree(base / "clean", tree)
    path = tree / "arbutuscove" / mutation.path
    source = path.read_text()
    if source.count(mutation.old) != 1:
        return f"`old` occurs {source.count(mutation.old)} times"
    path.write_text(source.replace(mutation.old, mutation.new))
    code = run_tests(tree, [mutation.test])
    return (
        "" if code == PYTEST_TESTS_FAILED else f"unnoticed: pytest exit {code}"
    )


@click.command()
def main() -> None:
    """Shows that each mechanism is guarded by a test that fails without it."""
    with tempfile.TemporaryDirectory() as directory:
        base = pathlib.Path(directory)
        clean = base / "clean"
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                ignored_names = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, clean / name, ignore=ignored_names)
            else:
                shutil.copy(source, clean / name)
        tests = sorted({m.test for m in catalog.MUTATIONS})
        if run_tests(clean, tests) != 0:
            click.echo("the tests fail without a mutation", err=True)
            sys.exit(1)
        numbers = range(len(catalog.MUTATIONS))
        with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
            results = list(pool.map(lambda n: check_mutation(base, n), numbers))
    for mutation, problem in zip(catalog.MUTATIONS, results, strict=True):
        click.echo(f"{problem or 'noticed'}: {mutation.promise}")
    unnoticed = sum(bool(problem) for problem in results)
    click.echo(f"{len(results) - unnoticed} of {len(results)} noticed")
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
