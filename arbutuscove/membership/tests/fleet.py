"""Simulates many membership views in one process on a faulty network.

Time is simulated; a heap has the timers and the messages in flight. Delays,
losses and duplicates come from a seeded generator.
"""

import dataclasses
import datetime
import heapq
import itertools
import random

from arbutuscove.membership import swim

SECOND = datetime.timedelta(seconds=1)


def address(number):
    return f"10.0.{number // 250}.{number % 250}:7000"


class Fleet:
    def __init__(self, size, seed=0, known=True, domains=3):
        self.random = random.Random(seed)
        self.now = datetime.timedelta()
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay = datetime.timedelta(milliseconds=5)
        self.cuts = set()
        self.down = set()
        self.paused = {}
        self.messages = 0
        self.largest = 0
        self._numbers = itertools.count()
        self._heap = []
        members = [
            swim.Member(
                name=f"entry-{number}",
                peer_address=address(number),
                failure_domain=f"zone-{number % domains}",
            )
            for number in range(size)
        ]
        self.names = {member.peer_address: member.name for member in members}
        everyone = {member.name: member for member in members}
        self.views = {}
        for member in members:
            others = dict(everyone)
            del others[member.name]
            self.views[member.name] = swim.View(
                own=member,
                seeds=tuple(address(n) for n in range(min(size, 7))),
                members=others if known else {},
                is_synced=known,
            )
            self.after(SECOND * self.random.random(), self.tick, member.name)

    def after(self, delay, function, *arguments):
        item = (self.now + delay, next(self._numbers), function, arguments)
        heapq.heappush(self._heap, item)

    def run(self, seconds):
        until = self.now + SECOND * seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = until

    def step(self, name, event):
        self.views[name], effects = swim.step(self.views[name], event, self.now)
        for effect in effects:
            self.carry_out(name, effect)

    def is_stopped(self, name):
        return name in self.paused or name in self.down

    def tick(self, name):
        if name in self.down:
            return
        if name in self.paused:
            self.paused[name].append((self.tick, (name,)))
            return
        self.after(SECOND, self.tick, name)
        self.step(name, swim.Tick())

    def pause(self, name):
        self.paused.setdefault(name, [])

    def resume(self, name):
        """Resumes a member; timers that expired during the pause run first.

        A real process behaves in the same way.
        """
        for function, arguments in self.paused.pop(name, []):
            self.after(datetime.timedelta(), function, *arguments)

    def carry_out(self, name, effect):
        match effect:
            case swim.Probe():
                self.probe(name, effect.name, effect.address, effect.timeout)
            case swim.RequestIndirectProbes():
                self.request_indirect_probes(name, effect)

    def probe(self, name, receiver, target_address, timeout, on_end=None):
        state = {"ended": False}
        on_end = on_end or (
            lambda answered: self.end_probe(name, receiver, answered)
        )

        def end(answered):
            if not state["ended"]:
                state["ended"] = True
                on_end(answered)

        self.views[name], message = swim.build_message(
            self.views[name], receiver
        )
        target = self.names.get(target_address)
        if target is not None:
            self.send(name, target, self.answer, target, name, message, end)
        self.after(timeout, self.run_at, name, end, (False,))

    def end_probe(self, name, receiver, answered):
        if receiver:
            event = swim.ProbeEnded(name=receiver, is_answered=answered)
            self.step(name, event)

    def run_at(self, name, function, arguments):
        if name in self.down:
            return
        if name in self.paused:
            deferred = (self.run_at, (name, function, arguments))
            self.paused[name].append(deferred)
            return
        function(*arguments)

    def send(self, source, target, function, *arguments):
        self.messages += 1
        copies = 2 if self.random.random() < self.duplicates else 1
        for _ in range(copies):
            if (source, target) in self.cuts:
                continue
            if self.random.random() < self.loss:
                continue
            delay = self.delay * (0.5 + self.random.random())
            self.after(delay, self.run_at, target, function, arguments)

    def answer(self, name, source, message, end):
        self.largest = max(self.largest, len(message.updates))
        self.step(name, swim.Received(message=message))
        self.views[name], reply = swim.build_reply(self.views[name], message)
        self.send(name, source, self.receive_reply, source, reply, end)

    def receive_reply(self, name, reply, end):
        self.step(name, swim.Received(message=reply))
        end(True)

    def request_indirect_probes(self, name, effect):
        outcomes = []

        def collect(outcome):
            outcomes.append(outcome)
            if len(outcomes) == len(effect.helpers):
                reached = True in outcomes
                answer_count = sum(item is not None for item in outcomes)
                self.step(
                    name,
                    swim.IndirectProbesEnded(
                        name=effect.target.name,
                        is_reached=reached,
                        answer_count=answer_count,
                    ),
                )

        for helper in effect.helpers:
            self.request_indirect_probe(name, helper.name, effect, collect)

    def request_indirect_probe(self, name, helper, effect, collect):
        state = {"ended": False}

        def end(outcome):
            if not state["ended"]:
                state["ended"] = True
                collect(outcome)

        def probe_target():
            self.probe(
                helper,
                "",
                effect.target.peer_address,
                effect.timeout / 2,
                lambda answered: self.send(helper, name, end, answered),
            )

        self.send(name, helper, probe_target)
        self.after(effect.timeout, self.run_at, name, end, (None,))

    def cut(self, sources, targets):
        self.cuts |= {
            (source, target) for source in sources for target in targets
        }

    def states(self, name):
        """Returns the states that all other running members have recorded."""
        return {
            view.members[name].state if name in view.members else None
            for other, view in self.views.items()
            if other != name and other not in self.down
        }

    def all_alive(self):
        return all(
            self.states(name) == {swim.State.ALIVE}
            for name in self.views
            if name not in self.down
        )

    def restart(self, name):
        """Starts a new process of the same name that knows only the seeds."""
        own = dataclasses.replace(
            self.views[name].own, incarnation=0, state=swim.State.ALIVE
        )
        self.views[name] = swim.View(own=own, seeds=self.views[name].seeds)
        self.down.discard(name)
        self.after(SECOND, self.tick, name)
