"""Compares admission and routing with baselines on all scenarios.

Usage:
    python -m bench.policy [--seed N] [--length SECONDS] [--plot FILE]

Nobody comes back after a refusal in these runs: each request counts once. A
run drives the decision code of 7 daemons on a manual clock; engines, load
reports and gossip are fakes. Times are of the simulated clock.
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
WORKERS = 6  # processes at once; each holds one run
# What the policy gives up in each scenario, and who would choose otherwise.
COSTS = {
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
        "Answers of the large account. Nilavu wants this; at Siam a house "
        "that pays for more gets it by its weight, which is a setting."
    ),
    "deaths and stragglers": (
        "Part of a straggler's slots, although it would answer in the end. "
        "Siam loses idle accelerators by it (straggler_most is the setting)."
    ),
    "fabric domain outage": (
        "Less urgent work first, by refusals. Neither would choose otherwise."
    ),
    "normal day, reports 2 s late": (
        "Nothing measurable. Neither user would choose otherwise."
    ),
    "bulk flood, reports 2 s late": (
        "Slots in use, as in the flood: a credit changes hands only after "
        "`handover` seconds. Siam may choose a shorter time."
    ),
}


class RankResult(typing.NamedTuple):
    """Shares of the requests of one rank."""

    requests: int
    in_time: float
    refused: float
    given_up: float
    lost: float
    slot_share: float


class Result(typing.NamedTuple):
    """What one run shows."""

    user: str
    scenario: str
    policy: str
    ranks: dict[str, RankResult]
    accounts: dict[str, float]  # urgent in time
    most_waiting: int
    slowest_refusal: float


def run_one(
    position: int, builder: int, policy: str, seed: int, length: float
) -> Result:
    """Runs one scenario of one user under one policy."""
    user = users.USERS[position]
    scenario = scenarios.BUILDERS[builder](user, length)
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
        accounts={
            f"account-{number}": simulation.compute_share_in_time(
                records, urgent, f"account-{number}"
            )
            for number in range(len(users.ACCOUNT_SHARES))
        },
        most_waiting=run.compute_max_engine_queue_length(),
        slowest_refusal=max((r.refusal_delay for r in records), default=0.0),
    )


def _summarize(
    records: abc.Sequence[simulation.Record], slot_share: float
) -> RankResult:
    def portion(*outcomes: simulation.Outcome) -> float:
        found = sum(record.outcome in outcomes for record in records)
        return found / max(1, len(records))

    return RankResult(
        requests=len(records),
        in_time=portion(simulation.Outcome.IN_TIME),
        refused=portion(simulation.Outcome.REFUSED_ON_ARRIVAL),
        given_up=portion(simulation.Outcome.REFUSED_AFTER_WAIT),
        lost=portion(simulation.Outcome.LOST, simulation.Outcome.PENDING),
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
    calm = {
        (result.user, result.policy): result.accounts
        for result in results
        if result.scenario == "normal day"
    }
    for user in users.USERS:
        names = dict.fromkeys(r.scenario for r in results)
        for name in names:
            print(f"\n{user.name}: {name}\n  Gives up: {COSTS[name]}")
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
                _print_accounts(result, calm[(user.name, result.policy)])


def _print_accounts(result: Result, calm: abc.Mapping[str, float]) -> None:
    large = f"account-{scenarios.LARGE_ACCOUNT}"
    small = [name for name in result.accounts if name != large]
    worst = min(small, key=lambda name: result.accounts[name] - calm[name])
    print(
        f"  {result.policy:15} worst account but the large one: {worst}"
        f" {result.accounts[worst]:.3f} (calm day {calm[worst]:.3f});"
        f" most waiting in an engine {result.most_waiting};"
        f" slowest refusal {1000 * result.slowest_refusal:.0f} ms"
    )


def plot(results: abc.Sequence[Result], path: str) -> None:
    """Writes the share of urgent and other answers in time as bars."""
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
        (position, builder, policy, seed, length)
        for position in range(len(users.USERS))
        for builder in range(len(scenarios.BUILDERS))
        for policy in POLICIES
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_one, *zip(*runs, strict=True)))
    print(f"seed {seed}, {length:g} s measured after 30 s of usual load")
    print_table(results)
    plot(results, path)
    print(f"\nplots: {path}", file=sys.stderr)


if __name__ == "__main__":
    main()
