"""Size and processor time of the evidence on crashes, at its bounds.

Run by `python -m bench.evidence`; reads real time.
"""

import datetime
import random
import time
import tracemalloc

import msgspec

from arbutuscove.crashes import evidence
from arbutuscove.crashes import judgement
from arbutuscove.crashes import traits

SECOND = datetime.timedelta(seconds=1)
DECISIONS = 50
ANSWERS = 20_000


def main() -> None:
    """Prints the figures."""
    generator = random.Random(1)
    tracemalloc.start()
    known = evidence.Evidence()
    for number in range(evidence.MAX_DEATHS):
        suspects, waiting = (
            {
                generator.getrandbits(64): depth
                for depth in range(traits.MAX_SUSPECTS)
            }
            for _ in range(2)
        )
        known.record_death(
            judgement.Death(
                identity=f"i-{generator.getrandbits(40):010x}@1792178439056",
                at=number * SECOND,
                suspects=suspects,
                waiting=waiting,
            )
        )
        report = msgspec.msgpack.encode(known.build_report(100 * SECOND))
        if number in (0, evidence.MAX_DEATHS - 1):
            print(f"report of {number + 1} deaths: {len(report)} bytes")
    for _ in range(evidence.MAX_ANSWERS):
        known.record_answer(generator.getrandbits(64), 100 * SECOND)
    print(f"memory: {tracemalloc.get_traced_memory()[0] // 1024} KiB")
    tracemalloc.stop()
    deaths = known.list_deaths()
    begin = time.perf_counter()
    for _ in range(DECISIONS):
        judgement.find_culprits(deaths, {})
    seconds = (time.perf_counter() - begin) / DECISIONS
    print(f"verdict: {seconds * 1e3:.2f} ms")
    keys = [generator.getrandbits(64) for _ in range(ANSWERS)]
    begin = time.perf_counter()
    for key in keys:
        known.record_answer(key, 101 * SECOND)
    seconds = (time.perf_counter() - begin) / ANSWERS
    print(f"answer: {seconds * 1e6:.1f} us")


if __name__ == "__main__":
    main()
