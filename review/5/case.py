# ruff: noqa
"""A plain server leaves while the store is away; its answers say so."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world

WORK_S = 0.09
RATE = 80.0  # filings a second, at both machines together
DRAIN_S = world.BOUNDS["drain_ms"] / 1000
DOWN_S = 7.0
LEAVES_AFTER_S = 0.5  # after the store went away
SERVES_AFTER_S = DRAIN_S + 2.0  # from its leaving to its exit
DEADLINE_MS = 3000


def build_configuration():
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-file",
                "host": world.HOST,
                "prefix": "/puxa403/",
                "kind": "unsafe",
                "service": "wuno96b",
                "timeout_ms": 3000,
                "target_latency_ms": 400,
                "priority": 2,
                "max_attempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": "wuno96b",
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [world.KEY]}],
    }


async def main(record, directory, daemons, trouble):
    store_address = (world.ip(1), world.free_ports(world.ip(1), 1))
    store = world.Store(record)
    await store.start(*store_address)
    await store.put("op", "config", build_configuration())
    servers = []
    for number in range(3):
        ip = world.ip(11 + number)
        port = world.free_ports(ip, 1)
        server = world.PlainServer(
            record, f"i-{number}", "wuno96b", ip, port, WORK_S
        )
        await server.start()
        servers.append(server)
    listed = set(servers)

    async def beat():
        while True:
            for server in list(listed):
                if not store.down:
                    await store.put("servers", server.name, server.entry())
            await asyncio.sleep(1.2)

    beats = asyncio.create_task(beat())
    base = world.free_ports(world.ip(21), 24)
    for number in range(2):
        daemon = world.Daemon(
            directory,
            f"front-a-{number + 1}",
            world.ip(21 + number),
            base,
            store_address,
        )
        daemons.append(daemon)
        daemon.start()
    for daemon in daemons:
        if not await world.wait_ready(daemon):
            record.write(f"{daemon.name} did not become ready")
            return 2
    record.write("all daemons are ready")

    sent = {}  # request id: (daemon, time of the send)
    answers = {}
    told = {}  # daemon: time of the first answer with Server-Leaving
    tasks = []

    async def call(daemon, request_id):
        sent[request_id] = (daemon.name, record.now())
        record.write(f"client sends {request_id} to {daemon.name}")
        status, fields, body = await world.fetch(
            daemon.front,
            world.build_request(
                "POST", "/puxa403/2f", request_id, DEADLINE_MS, b"lot 7"
            ),
            DEADLINE_MS / 1000 + 1,
        )
        answers[request_id] = status
        leaving = fields.get("server-leaving")
        if leaving and daemon.name not in told:
            told[daemon.name] = record.now()
        record.write(
            f"client gets {status} for {request_id} from {daemon.name}"
            + (" with Server-Leaving: 1" if leaving else "")
        )

    async def load(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number = len(sent)
            daemon = daemons[number % 2]
            request_id = f"{number:016x}"
            tasks.append(asyncio.create_task(call(daemon, request_id)))
            await asyncio.sleep(1 / RATE)

    traffic = asyncio.create_task(load(16.0))
    await asyncio.sleep(5.0)
    if trouble:
        store.down = "busy"
        record.write("the store answers 503 from now on")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = servers[0]
    leaver.leaving = True
    listed.discard(leaver)
    await store.drop("servers", leaver.name)
    left_at = record.now()
    record.write(f"{leaver.name} leaves: its entry is removed")
    await asyncio.sleep(SERVES_AFTER_S)
    cut = leaver.exit()
    await asyncio.sleep(max(0.0, DOWN_S - LEAVES_AFTER_S - SERVES_AFTER_S))
    if trouble:
        store.down = ""
        record.write("the store answers again")
    await traffic
    await asyncio.gather(*tasks)
    beats.cancel()

    served = sum(status == 200 for status in answers.values())
    record.write(f"{served} of {len(sent)} filings were answered 200")
    if served < len(sent) * 0.5:
        record.write("too few were served for a verdict")
        return 2
    late = []
    for at, request_id in leaver.runs:
        name, sent_at = sent[request_id]
        if name in told and sent_at > told[name] + DRAIN_S:
            late.append(request_id)
            record.write(
                f"DRAIN: {request_id}, sent {sent_at - told[name]:.3f} s after"
                f" {name} had passed on Server-Leaving of {leaver.name},"
                f" reached it"
            )
    lost = [r for r in late if r in cut]
    record.write(f"told: {told}; it left at {left_at:.3f}")
    record.write(
        f"{len(late)} filings reached {leaver.name} too late;"
        f" {len(lost)} of them ran and were cut as it exited:"
        f" {[(r, answers[r]) for r in lost]}"
    )
    return 1 if late else 0


world.run(main, pathlib.Path(__file__).resolve().parent)
