"""Two heads are partitioned from the store and from all machines.

They stay open. Their connections hang. Their entries lapse after three
heartbeats without one, while the other members answer as before.
"""

import sys
import time

import gevent
import world as world_module

from arbutuscove.standins import users_platform

HEARTBEAT = 1.2
EXPIRY = 3 * HEARTBEAT
CUT_SECONDS = 10.0
GROUPED = 10  # of which two are a share of 0.2
HEADS = 2

users_platform.HEARTBEAT_SECONDS = HEARTBEAT
users_platform.ENTRY_EXPIRY_SECONDS = EXPIRY
users_platform.STALL_SECONDS = 6.0


class Platform(users_platform.UsersPlatform):
    """The stand-in, whose servers may be partitioned from the store."""

    def __init__(self, host, port):
        self.cut = set()
        self.beats = {}
        super().__init__(host, port)
        self._lapses = gevent.spawn(self._run_lapses)

    def write_entry(self, server):
        """Writes an entry at each heartbeat and at each change of it."""
        now = time.monotonic()
        report = server.build_report()
        written_at, known, due = self.beats.get(server.name, (now, None, now))
        if report == known and now < due:
            return
        while due <= now:
            due += HEARTBEAT
        is_cut = server.name in self.cut
        if not is_cut:
            written_at = now
        self.beats[server.name] = (written_at, report, due)
        if is_cut:
            return  # the store does not get it
        self._pass_count = 10 * (self._pass_count // 10 + 1)
        super().write_entry(server)

    def _run_lapses(self):
        while True:
            gevent.sleep(0.05)
            now = time.monotonic()
            for name in self.cut:
                if now - self.beats[name][0] >= EXPIRY:
                    self.store.drop("servers", name)

    def stop(self):
        """Stops all greenlets and servers."""
        self._lapses.kill()
        super().stop()


users_platform.UsersPlatform = Platform


def list_heads(platform):
    """Returns the servers whose groups are open."""
    return [
        server
        for server in platform.servers.values()
        if server.group is not None and server.group["state"] == "open"
    ]


def describe(platform):
    """Returns the group, rank and state of each server in one."""
    return ", ".join(
        f"{server.name}={server.group['name']}/{server.group['rank']}"
        f"/{server.group['state']}"
        for server in platform.servers.values()
        if server.group is not None
    )


def wait_for_beat(platform, names):
    """Waits until all of some servers have just written their entries."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        now = time.monotonic()
        if all(now - platform.beats[name][0] < 0.1 for name in names):
            return
        gevent.sleep(0.01)
    raise world_module.CannotRunError("the heartbeats are too far apart")


def cut_heads(world, names, seconds):
    """Partitions servers from the store and from all machines for a time."""
    world.record.write(f"platform: {names} are cut off")
    for name in names:
        server = world.platform.servers[name]
        server.silent_until = time.monotonic() + seconds
    world.platform.cut.update(names)
    gevent.sleep(seconds)
    world.platform.cut.clear()
    world.record.write("platform: the partition has ended")


def run(world):
    """Returns the joins that break TWO."""
    platform = world.platform
    end = time.monotonic() + 30
    while len(list_heads(platform)) < GROUPED // 2:
        if time.monotonic() > end:
            raise world_module.CannotRunError("the groups did not form")
        gevent.sleep(0.1)
    # The rule counts from traffic on, and callers are there.
    for number in range(6):
        ask_stream(world, world.ips[number % len(world.ips)], number)
    world.record.write(f"servers: {describe(platform)}")
    names = sorted(server.name for server in list_heads(platform))[:HEADS]
    wait_for_beat(platform, names)
    if world_module.HAS_TROUBLE:
        cut_heads(world, names, CUT_SECONDS)
    else:
        gevent.sleep(CUT_SECONDS)
    for number in range(6, 12):
        ask_stream(world, world.ips[number % len(world.ips)], number)
    world.record.write(f"servers: {describe(platform)}")
    return [
        f"{item.name}: {item.detail}"
        for item in platform.violations
        if item.name == "TWO"
    ]


def ask_stream(world, ip, number):
    """Sends one request for a stream, as a client does."""
    request_id = f"stream-{number}"
    head = (
        f"POST /stream/x HTTP/1.1\r\nHost: {world_module.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
        "X-Model: chat\r\nX-Token-Counts: 100,40\r\n"
        f"X-Prompt-Prefix: a1:40,b{number}:60\r\n"
        f"Authorization: Token {world_module.KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    answer = world_module.ask(ip, world.port, head.encode())
    runs = [run for run in world.platform.runs if run.request_id == request_id]
    world.record.write(
        f"client: {request_id} to {ip} answered {answer.status}"
        f" ran at {[run.server for run in runs]}"
    )


if __name__ == "__main__":
    world_module.run_case(sys.argv[1], run, grouped=GROUPED)
