"""Command line of the soak test."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import pathlib
import sys
import tempfile

import click

from soak import crashing
from soak import deadly as deadly_module
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
@click.option(
    "--crashing-part",
    is_flag=True,
    help="Instead of random faults, a prompt part crashes servers.",
)
@click.option(
    "--deadly",
    is_flag=True,
    help="Some contents crash servers, beside faults of the daemons.",
)
@click.option(
    "--planned-only",
    is_flag=True,
    help="Only planned work, and servers that are silent for a second.",
)
@click.option(
    "--partitions",
    is_flag=True,
    help="Random faults also cut daemons from all servers.",
)
@click.option(
    "--zones",
    is_flag=True,
    help="Zones are evacuated and come back cold, beside faults of daemons.",
)
@click.option(
    "--hostile",
    is_flag=True,
    help="Crowds of clients that keep to no limit, beside planned work.",
)
@click.option(
    "--heads",
    is_flag=True,
    help="Heads of groups are cut off, beside faults of one or all daemons.",
)
@click.option(
    "--beside",
    type=click.Path(path_type=pathlib.Path, exists=True),
    default=None,
    help="Checkout of another version, which every second start runs.",
)
def main(
    seed: int,
    count: int,
    seconds: float,
    logs: pathlib.Path | None,
    crashing_part: bool,
    deadly: bool,
    planned_only: bool,
    partitions: bool,
    zones: bool,
    hostile: bool,
    heads: bool,
    beside: pathlib.Path | None,
) -> None:
    """Runs daemons under random faults; exit code 1 if a promise broke."""
    failed_seeds = []
    for current_seed in range(seed, seed + count):
        log_directory = None if logs is None else logs / str(current_seed)
        if crashing_part:
            broken = _run_crashing_part(current_seed, log_directory, beside)
        elif deadly:
            broken = _run_deadly(current_seed, seconds, log_directory, beside)
        else:
            report = run.run_seed(
                current_seed,
                seconds,
                log_directory,
                planned_only,
                partitions,
                beside,
                zones,
                hostile,
                heads,
            )
            click.echo(report.describe())
            broken = bool(report.violations)
        if broken:
            failed_seeds.append(current_seed)
    click.echo(f"{count} seeds, broken: {failed_seeds or 'none'}")
    sys.exit(1 if failed_seeds else 0)


def _run_deadly(
    seed: int,
    seconds: float,
    logs: pathlib.Path | None,
    beside: pathlib.Path | None,
) -> bool:
    """Runs one seed of a random load; returns whether it broke a promise."""
    load = deadly_module.draw_load(seed, seconds)
    with tempfile.TemporaryDirectory() as directory:
        log_directory = pathlib.Path(directory) if logs is None else logs
        log_directory.mkdir(parents=True, exist_ok=True)
        report = deadly_module.run_seed(log_directory, seed, load, beside)
    broken = report.list_broken()
    click.echo(f"seed {seed}: broken {broken or 'none'}; {load}; {report}")
    return bool(broken)


def _run_crashing_part(
    seed: int, logs: pathlib.Path | None, beside: pathlib.Path | None
) -> bool:
    """Runs one seed, every second one with forwarders; returns if it broke."""
    with tempfile.TemporaryDirectory() as directory:
        log_directory = pathlib.Path(directory) if logs is None else logs
        log_directory.mkdir(parents=True, exist_ok=True)
        report = crashing.run_seed(
            log_directory,
            seed,
            has_server_links=bool(seed % 2),
            beside=beside,
        )
    broken = report.list_broken()
    click.echo(f"seed {seed}: broken {broken or 'none'}; {report}")
    return bool(broken)


if __name__ == "__main__":
    main()
