# ruff: noqa
"""A model server answers one request with bytes that never end.

Two machines; eight model servers in groups of two, and three servers of a plain
service. Streams and filings come all the while. Two of the streams get an
answer that is nothing but comments, without end, until the daemon closes.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world

MODEL = "rada7437b5"
MODELS = "huvo11a"
DESK = "wuno96b"
MACHINES = 2
SERVERS = 8
HEARTBEAT_S = 1.2
STREAM_MS = 8000  # time-out of the route and deadline, as lot-summary
FILE_TIMEOUT_MS = 1500  # as lot-settle
FILE_DEADLINE_MS = 3000
WORK_S = 0.06
STREAM_RATE = 6.0  # a second, at both machines together
FILE_RATE = 20.0
FOR_S = 34.0
ENDLESS_AT_S = (5.0, 18.0)
LATE_S = 0.5  # of CONFIG
MIN_LATE = 8
MAX_LATE_SHARE = 0.25


def build_configuration():
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-summary",
                "host": world.HOST,
                "prefix": "/pufi791/",
                "kind": "stream",
                "service": MODELS,
                "timeout_ms": STREAM_MS,
                "target_latency_ms": 500,
                "priority": 1,
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "target_gap_ms": 300,
            },
            {
                "name": "r-file",
                "host": world.HOST,
                "prefix": "/puxa403/",
                "kind": "unsafe",
                "service": DESK,
                "timeout_ms": FILE_TIMEOUT_MS,
                "target_latency_ms": 300,
                "priority": 2,
                "max_attempts": 1,
                "public": False,
            },
        ],
        "services": [
            {
                "name": MODELS,
                "health_path": "/health",
                "max_connections": 404,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 13,
                    "kv_capacity_tokens": 700000,
                    "stride": 5,
                    "models": [
                        {
                            "name": MODEL,
                            "size": 2,
                            "share": 1.0,
                            "pace": 1.0,
                            "load_s": 12.0,
                            "warm_s": 1.1,
                        }
                    ],
                    "step_ms": 6.07,
                    "per_seq_ms": 0.482,
                    "context_per_k": 0.00976,
                    "read_per_s": 46000.0,
                    "loads_per_s": 4.0,
                    "loads_at_once": 6,
                    "usual": {"prompt": 1076, "answer": 116},
                    "form_ms": 300.0,
                },
            },
            {
                "name": DESK,
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [world.KEY]}],
    }


async def stream(address, request, timeout):
    """Reads an answer as it comes; returns its status and what it was.

    The status is 0 without an answer, and -1 after the time-out.
    """
    writer = None
    events, size, tail, status = 0, 0, b"", 0
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            head = await world.read_head(reader)
            if head is None:
                return 0, 0, 0, False
            status = int(head[0].split(" ")[1])
            if "content-length" in head[1]:
                await world.read_body(reader, head[1])
                return status, 0, 0, True
            while data := await reader.read(1 << 16):
                size += len(data)
                events += data.count(b"data:")
                tail = (tail + data)[-8:]
                if tail.endswith(b"0\r\n\r\n"):
                    return status, events, size, True
            return status, events, size, False
    except TimeoutError:
        return -1, events, size, False
    except OSError:
        return status, events, size, False
    finally:
        if writer is not None:
            writer.close()


async def main(record, directory, daemons, trouble):
    store_address = (world.ip(1), world.free_ports(world.ip(1), 1))
    store = world.Store(record)
    await store.start(*store_address)
    await store.put("op", "config", build_configuration())
    fleet = {}
    for number in range(SERVERS):
        ip = world.ip(31 + number)
        server = world.ModelServer(
            record,
            f"i-{number}",
            MODELS,
            ip,
            world.free_ports(ip, 1),
            "d0",
            fleet,
        )
        await server.start()
        fleet[server.name] = server
    desk = []
    for number in range(3):
        ip = world.ip(11 + number)
        server = world.PlainServer(
            record, f"p-{number}", DESK, ip, world.free_ports(ip, 1), WORK_S
        )
        await server.start()
        desk.append(server)

    async def beat(server):
        beaten = 0.0
        while True:
            if isinstance(server, world.ModelServer):
                server.update()
                was_changed = server.changed.is_set()
                server.changed.clear()
            else:
                was_changed = False
            if was_changed or time.monotonic() - beaten >= HEARTBEAT_S:
                beaten = time.monotonic()
                await store.put("servers", server.name, server.entry())
            await asyncio.sleep(0.05)

    beats = [asyncio.create_task(beat(s)) for s in [*fleet.values(), *desk]]
    base = world.free_ports(world.ip(21), 24)
    for number in range(MACHINES):
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

    def list_open():
        return [
            s
            for s in fleet.values()
            if s.group is not None and s.group["state"] == "open"
        ]

    end = time.monotonic() + 40
    while len(list_open()) < SERVERS // 2:
        if time.monotonic() > end:
            record.write("the groups were not formed")
            return 2
        await asyncio.sleep(0.1)
    record.write("all groups are open")

    began = record.now()
    filings = []  # (daemon, request id, sent at, status, seconds)
    streams = []
    checks = []  # (daemon, at, status, seconds)
    tasks = []

    async def file(daemon, request_id):
        sent_at = record.now()
        record.write(f"client sends filing {request_id} to {daemon.name}")
        status, _, _ = await world.fetch(
            daemon.front,
            world.build_request(
                "POST", "/puxa403/2f", request_id, FILE_DEADLINE_MS, b"lot 7"
            ),
            FILE_DEADLINE_MS / 1000,
        )
        seconds = record.now() - sent_at
        filings.append((daemon.name, request_id, sent_at, status, seconds))
        record.write(
            f"client has {status} for filing {request_id} after {seconds:.3f} s"
        )

    async def ask(daemon, request_id):
        sent_at = record.now()
        record.write(f"client sends stream {request_id} to {daemon.name}")
        request = world.build_request(
            "POST",
            "/pufi791/2f",
            request_id,
            STREAM_MS,
            b"lot 7",
            [
                ("X-Model", MODEL),
                ("X-Token-Counts", "300,60"),
                ("X-Prompt-Prefix", f"5c1e0700:40,{request_id}:260"),
            ],
        )
        status, events, size, is_whole = await stream(
            daemon.front, request, STREAM_MS / 1000 + 1
        )
        seconds = record.now() - sent_at
        streams.append((daemon.name, request_id, status, is_whole))
        record.write(
            f"client has {status}, {events} events, {size} bytes for stream"
            f" {request_id} after {seconds:.3f} s"
        )

    async def load(rate, call, letter):
        number = 0
        while record.now() < began + FOR_S:
            daemon = daemons[number % MACHINES]
            tasks.append(
                asyncio.create_task(call(daemon, f"{letter}{number:015x}"))
            )
            number += 1
            await asyncio.sleep(1 / rate)

    async def check(daemon):
        """Asks each second whether the machine is ready, as the platform."""
        while record.now() < began + FOR_S:
            at = record.now()
            status, _, _ = await world.fetch(
                daemon.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0
            )
            checks.append((daemon.name, at, status))
            if status != 200:
                record.write(f"{daemon.name} doesn't say that it is ready")
            await asyncio.sleep(max(0.0, at + 1.0 - record.now()))

    loads = [
        asyncio.create_task(load(FILE_RATE, file, "f")),
        asyncio.create_task(load(STREAM_RATE, ask, "a")),
        *[asyncio.create_task(check(d)) for d in daemons],
    ]
    for at in ENDLESS_AT_S:
        await asyncio.sleep(max(0.0, began + at - record.now()))
        if trouble:
            list_open()[0].endless = 1
    await asyncio.gather(*loads)
    await asyncio.gather(*tasks)
    for task in beats:
        task.cancel()

    endless = [r for s in fleet.values() for r in s.endless_ids]
    served = sum(status == 200 for _, _, _, status, _ in filings)
    whole = sum(is_whole for *_, is_whole in streams)
    unready = sum(status != 200 for *_, status in checks)
    record.write(
        f"{served} of {len(filings)} filings were answered 200, {whole} of"
        f" {len(streams)} streams were whole; {len(endless)} answers had no"
        f" end; {unready} of {len(checks)} questions for readiness failed"
    )
    long = [f for f in filings if f[4] > FILE_TIMEOUT_MS / 1000]
    late = [
        f
        for f in filings
        if f[3] <= 0 or f[4] > FILE_TIMEOUT_MS / 1000 + LATE_S
    ]
    for name, request_id, sent_at, status, seconds in late:
        record.write(
            f"CONFIG: {request_id}, sent to {name} at {sent_at:.3f}, had no"
            f" answer {LATE_S} s after the {FILE_TIMEOUT_MS} ms of its route"
        )
    record.write(
        f"{len(long)} filings lasted longer than {FILE_TIMEOUT_MS} ms;"
        f" {len(late)} of them had no final answer {LATE_S} s later"
    )
    if served < 0.3 * len(filings):
        return 2
    if trouble and not endless:
        record.write("no answer was without end")
        return 2
    is_broken = len(late) >= MIN_LATE and len(late) > MAX_LATE_SHARE * len(long)
    return 1 if is_broken else 0


world.run(main, pathlib.Path(__file__).resolve().parent)
