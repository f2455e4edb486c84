"""The two simulated users: fleet sizes, ranks, accounts and usual load.

Fleet sizes are the present ones. Token counts, times and shares are
assumptions of the benchmark, chosen so that the ranks differ widely and the
usual load is about 65% of the slots.
"""

import dataclasses
import datetime

from arbutuscove.config import model

DAEMONS = tuple(f"entry-{number}" for number in range(1, 8))
# Share of the load by account, in descending order.
ACCOUNT_SHARES = (0.26, 0.18, 0.14, 0.11, 0.09, 0.07, 0.06, 0.04, 0.03, 0.02)
URGENT_HEADROOM = 3.0  # ratio of the entitlement to the usual urgent load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RankLoad:
    """The requests of one rank; times in seconds.

    `target` applies to the first token; `prefill` is the time to the first
    token on an idle engine. `usual_share` is the share of all slots that the
    rank uses on a normal day.
    """

    name: str
    target: float
    deadline: float
    answer_tokens: int
    prefill: float
    usual_share: float
    min_slot_share: float
    worth: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class User:
    """A user and its fleet; `token_interval` is in seconds."""

    name: str
    replicas: int
    vms_per_replica: int
    slots: int
    token_interval: float
    ranks: tuple[RankLoad, ...]

    def count_slots(self) -> int:
        """Returns the number of requests that the fleet runs concurrently."""
        return self.replicas * self.slots

    def compute_run_time(self, rank: RankLoad) -> float:
        """Returns the mean time for which a request uses a slot, in seconds."""
        return rank.prefill + rank.answer_tokens * self.token_interval

    def compute_capacity(self, rank: RankLoad) -> float:
        """Returns the capacity in requests per second for this rank alone."""
        return self.count_slots() / self.compute_run_time(rank)

    def build_service(self) -> model.Service:
        """Returns the configuration of the service of this user."""
        urgent = self.ranks[0]
        usual_tokens = (
            urgent.usual_share
            * self.compute_capacity(urgent)
            * urgent.answer_tokens
        )
        return model.Service(
            name=self.name,
            team=self.name,
            ranks=tuple(
                model.Rank(
                    name=rank.name,
                    priority=priority,
                    worth=rank.worth,
                    first_token_target=datetime.timedelta(seconds=rank.target),
                    floor_share=rank.min_slot_share,
                )
                for priority, rank in enumerate(self.ranks)
            ),
            accounts=tuple(
                model.Account(
                    name=f"account-{number}",
                    key_digests=(),
                    urgent_tokens_per_second=(
                        share * usual_tokens * URGENT_HEADROOM
                    ),
                )
                for number, share in enumerate(ACCOUNT_SHARES)
            ),
            limits=model.Limits(accelerators=self.replicas * 8),
            model=model.ModelBackend(
                model="model",
                vms_per_replica=self.vms_per_replica,
                replicas=self.replicas,
            ),
        )


NILAVU = User(
    name="nilavu",
    replicas=24,
    vms_per_replica=2,
    slots=8,
    token_interval=0.02,
    ranks=(
        RankLoad(
            name="resident",
            target=1.5,
            deadline=15.0,
            answer_tokens=120,
            prefill=0.1,
            usual_share=0.15,
            min_slot_share=0.5,
            worth=100.0,
        ),
        RankLoad(
            name="letter",
            target=10.0,
            deadline=60.0,
            answer_tokens=250,
            prefill=0.2,
            usual_share=0.25,
            min_slot_share=0.2,
            worth=10.0,
        ),
        RankLoad(
            name="review",
            target=30.0,
            deadline=120.0,
            answer_tokens=500,
            prefill=0.5,
            usual_share=0.25,
            min_slot_share=0.1,
            worth=1.0,
        ),
    ),
)

SIAM = User(
    name="siam",
    replicas=12,
    vms_per_replica=4,
    slots=16,
    token_interval=0.025,
    ranks=(
        RankLoad(
            name="bid",
            target=1.0,
            deadline=6.0,
            answer_tokens=50,
            prefill=0.1,
            usual_share=0.12,
            min_slot_share=0.4,
            worth=200.0,
        ),
        RankLoad(
            name="lot",
            target=8.0,
            deadline=40.0,
            answer_tokens=200,
            prefill=0.2,
            usual_share=0.3,
            min_slot_share=0.25,
            worth=20.0,
        ),
        RankLoad(
            name="catalogue",
            target=45.0,
            deadline=180.0,
            answer_tokens=600,
            prefill=0.5,
            usual_share=0.25,
            min_slot_share=0.1,
            worth=1.0,
        ),
    ),
)

USERS = (NILAVU, SIAM)
