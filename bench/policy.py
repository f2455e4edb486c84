"""Compares admission and routing with baselines on all scenarios.

Usage:
    python -m bench.policy [--seed N] [--length SECONDS] [--plot FILE]

Callers do not retry refused requests in these runs: each request counts once.
A run executes the decision code of 7 daemons on a manual clock; engines, load
reports and gossip are fakes. All times are simulated.
"""

import concurrent.futures
import sys
import typing
from collections import abc

import click
import matplotlib

from bench import policies
from bench import scenarios
from bench import simulation
from bench import users

matplotlib.use("Agg")

# pylint: disable=wrong-import-position
from matplotlib import pyplot  # noqa: E402

POLICIES = (simulation.CURRENT_POLICY, *policies.BASELINES)
WORKER_PROCESSES = 6  # each executes one run at a time
# What the policy sacrifices in each scenario, and which user would choose a
# different trade-off.
TRADE_OFFS = {
    "normal day": (
        "Nothing measurable: slots kept free for urgent work are not needed. "
        "Neither user would choose otherwise."
    ),
    "bulk flood 10x": (
        "Slots in use: bulk leaves `headroom` free for urgent work. Nilavu "
        "keeps 0.2; Siam, which pays for idle VMs, may choose 0.12 "
        "(keep_free_percent is the answer that sets it)."
    ),
    "urgent flood 3x": (
        "Urgent answers beyond the entitlement, for the floors of the other "
        "ranks. Siam would give bids more before an auction: the floors and "
        "urgent_tokens_per_second of the service are the settings."
    ),
    "bulk, then urgent flood": (
        "The first seconds of urgent work while long bulk answers still run; "
        "nothing is cut off. Siam could choose more headroom for that time."
    ),
    "one account 50x": (
        "Answers of the large account. Nilavu wants this; at Siam an account "
        "that pays for more gets a higher weight, which is a setting."
    ),
    "deaths and stragglers": (
        "Part of a straggler's slots, although it would answer eventually. "
        "At Siam accelerators idle because of it (the setting is "
        "max_straggler_slowdown)."
    ),
    "fabric domain outage": (
        "Less urgent work, which is refused first. Neither user would choose "
        "otherwise."
    ),
    "normal day, reports 2 s late": (
        "Nothing measurable. Neither user would choose otherwise."
    ),
    "bulk flood, reports 2 s late": (
        "Slots in use, as in the flood: a credit changes hands only after "
        "`handover_divisions` seconds. Siam may choose a shorter time."
    ),
}


class RankResult(typing.NamedTuple):
    """Number of requests of one rank, and shares of their outcomes."""

    requests: int
    in_time: float
    refused: float
    given_up: float
    lost: float
    slot_share: float


class Result(typing.NamedTuple):
    """The results of one run; delays in seconds."""

    user: str
    scenario: str
    policy: str
    ranks: dict[str, RankResult]
    urgent_in_time_by_account: dict[str, float]
    max_queue_length: int
    max_refusal_delay: float


def run_scenario(
    user_index: int, builder_index: int, policy: str, seed: int, length: float
) -> Result:
    """Runs one scenario of one user under one policy.

    Args:
        user_index: position in `users.USERS`.
        builder_index: position in `scenarios.BUILDERS`.
        policy: one of `POLICIES`.
        seed: seed of the arrivals and choices.
        length: duration of the measured interval, in seconds.
    """
    user = users.USERS[user_index]
    scenario = scenarios.BUILDERS[builder_index](user, length)
    run = simulation.Simulation(user, scenario, policy, seed)
    run.run()
    records = run.list_measured_records()
    shares = run.compute_slot_shares()
    urgent = user.ranks[0].name
    return Result(
        user=user.name,
        scenario=scenario.name,
        policy=policy,
        ranks={
            rank.name: _summarize(
                [r for r in records if r.rank == rank.name],
                shares[rank.name],
            )
            for rank in user.ranks
        },
        urgent_in_time_by_account={
            f"account-{number}": simulation.compute_share_in_time(
                records, urgent, f"account-{number}"
            )
            for number in range(len(users.ACCOUNT_SHARES))
        },
        max_queue_length=run.compute_max_engine_queue_length(),
        max_refusal_delay=max((r.refusal_delay for r in records), default=0.0),
    )


def _summarize(
    records: abc.Sequence[simulation.Record], slot_share: float
) -> RankResult:
    def compute_share(*outcomes: simulation.Outcome) -> float:
        matching = sum(record.outcome in outcomes for record in records)
        return matching / max(1, len(records))

    return RankResult(
        requests=len(records),
        in_time=compute_share(simulation.Outcome.IN_TIME),
        refused=compute_share(simulation.Outcome.REFUSED_ON_ARRIVAL),
        given_up=compute_share(simulation.Outcome.REFUSED_AFTER_WAIT),
        lost=compute_share(simulation.Outcome.LOST, simulation.Outcome.PENDING),
        slot_share=slot_share,
    )


def _describe_rank(user: users.User, result: Result, name: str) -> str:
    rank = next(rank for rank in user.ranks if rank.name == name)
    row = result.ranks[name]
    return (
        f"  {result.policy:15} {name:10} {row.requests:6} {row.in_time:8.3f}"
        f" {row.refused:8.3f} {row.given_up:8.3f} {row.lost:6.3f}"
        f" {row.slot_share:6.3f} {rank.min_slot_share:6.2f}"
    )


def print_table(results: abc.Sequence[Result]) -> None:
    """Prints all results by user and scenario."""
    normal_day = {
        (result.user, result.policy): result.urgent_in_time_by_account
        for result in results
        if result.scenario == "normal day"
    }
    for user in users.USERS:
        names = dict.fromkeys(r.scenario for r in results)
        for name in names:
            print(f"\n{user.name}: {name}\n  Gives up: {TRADE_OFFS[name]}")
            print(
                f"  {'policy':15} {'rank':10} {'n':>6} {'in time':>8}"
                f" {'refused':>8} {'given up':>8} {'lost':>6}"
                f" {'slots':>6} {'floor':>6}"
            )
            matching = [
                r for r in results if (r.user, r.scenario) == (user.name, name)
            ]
            for result in matching:
                for rank in user.ranks:
                    print(_describe_rank(user, result, rank.name))
            for result in matching:
                _print_accounts(result, normal_day[(user.name, result.policy)])


def _print_accounts(
    result: Result, normal_day: abc.Mapping[str, float]
) -> None:
    large_account = f"account-{scenarios.LARGE_ACCOUNT}"
    small_accounts = [
        name
        for name in result.urgent_in_time_by_account
        if name != large_account
    ]
    worst = min(
        small_accounts,
        key=lambda name: (
            result.urgent_in_time_by_account[name] - normal_day[name]
        ),
    )
    print(
        f"  {result.policy:15} worst account but the large one: {worst}"
        f" {result.urgent_in_time_by_account[worst]:.3f}"
        f" (calm day {normal_day[worst]:.3f});"
        f" most waiting in an engine {result.max_queue_length};"
        f" slowest refusal {1000 * result.max_refusal_delay:.0f} ms"
    )


def plot(results: abc.Sequence[Result], path: str) -> None:
    """Writes a bar chart of the share of answers in time by rank."""
    names = list(dict.fromkeys(result.scenario for result in results))
    figure, axes = pyplot.subplots(
        len(users.USERS), 3, figsize=(18, 9), squeeze=False
    )
    for row, user in enumerate(users.USERS):
        for column, rank in enumerate(user.ranks):
            axis = axes[row][column]
            for offset, policy in enumerate(POLICIES):
                heights = [
                    next(
                        result.ranks[rank.name].in_time
                        for result in results
                        if (result.user, result.scenario, result.policy)
                        == (user.name, name, policy)
                    )
                    for name in names
                ]
                places = [i + 0.2 * offset for i in range(len(names))]
                axis.bar(places, heights, width=0.2, label=policy)
            axis.set_title(f"{user.name}: {rank.name} within target")
            axis.set_xticks(range(len(names)), names, rotation=30, ha="right")
            axis.set_ylim(0.0, 1.05)
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--length", default=scenarios.LENGTH_SECONDS, show_default=True)
@click.option("--plot", "path", default="policy.png", show_default=True)
def main(seed: int, length: float, path: str) -> None:
    """Runs every scenario, user and policy and prints the table."""
    runs = [
        (user_index, builder_index, policy, seed, length)
        for user_index in range(len(users.USERS))
        for builder_index in range(len(scenarios.BUILDERS))
        for policy in POLICIES
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        results = list(pool.map(run_scenario, *zip(*runs, strict=True)))
    print(f"seed {seed}, {length:g} s measured after 30 s of usual load")
    print_table(results)
    plot(results, path)
    print(f"\nplots: {path}", file=sys.stderr)


if __name__ == "__main__":
    main()
