"""A new version adds a route for all paths of a host; callers use it."""

import sys

import world as world_module

# Names of pages that the application behind the routes has.
PAGES = ("ready", "resolve", "metrics", "list", "status/ready")
APPLY_SECONDS = 2.5  # config_apply_ms and a half second more


def ask_page(world, ip, path, number):
    """Sends one request as a client does; returns what breaks MIXED."""
    request_id = f"page-{number}"
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {world_module.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
        f"Authorization: Token {world_module.KEY}\r\n\r\n"
    )
    world.record.write(f"client: {ip} GET {path} {request_id}")
    answer = world_module.ask(ip, world.port, head.encode())
    runs = [run for run in world.platform.runs if run.request_id == request_id]
    stamp = answer.headers.get(world_module.STAMP)
    world.record.write(
        f"answer: {request_id} {answer.status} stamp={stamp}"
        f" ran at {[run.server for run in runs]} body={answer.body[:60]!r}"
    )
    if 200 <= answer.status < 300 and stamp is None:
        return [f"{path}: a success without X-Server-Stamp"]
    return []


def run(world):
    """Asks for each page below each prefix of the configuration."""
    prefixes = ["/safe/"]
    if world_module.HAS_TROUBLE:
        routes = world.configuration["routes"]
        added = dict(routes[2], name="all", prefix="/")
        world.configuration["version"] += 3
        world.configuration["routes"] = [*routes, added]
        world.put_configuration()
        world_module.gevent.sleep(APPLY_SECONDS)
        prefixes.append("/")
    broken = []
    number = 0
    for prefix in prefixes:
        for page in PAGES:
            for ip in world.ips:
                number += 1
                broken += ask_page(world, ip, prefix + page, number)
    return broken


world_module.run_case(sys.argv[1], run)
