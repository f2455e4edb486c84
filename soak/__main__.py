"""Command line of the soak test."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import pathlib
import sys

import click

from soak import run


@click.command(context_settings={"show_default": True})
@click.option("--seed", default=1, help="First seed.")
@click.option("--count", default=1, help="Number of seeds, one after another.")
@click.option("--seconds", default=15.0, help="Time of faults in each run.")
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Directory in which the daemons' logs stay.",
)
def main(
    seed: int, count: int, seconds: float, logs: pathlib.Path | None
) -> None:
    """Runs daemons under random faults; exit code 1 if a promise broke."""
    failed_seeds = []
    for current_seed in range(seed, seed + count):
        log_directory = None if logs is None else logs / str(current_seed)
        report = run.run_seed(current_seed, seconds, log_directory)
        click.echo(report.describe())
        if report.violations:
            failed_seeds.append(current_seed)
    click.echo(f"{count} seeds, broken: {failed_seeds or 'none'}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
