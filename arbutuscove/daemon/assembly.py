"""Builds the services of a daemon in the order of their dependencies."""

import random
import resource
import uuid

from arbutuscove.admin import api as admin_api
from arbutuscove.admin import keys as admin_keys
from arbutuscove.admin import operations as operations_module
from arbutuscove.admission import service as admission_service
from arbutuscove.config import follower
from arbutuscove.daemon import listing as listing_module
from arbutuscove.daemon import paths as paths_module
from arbutuscove.daemon import settings as settings_module
from arbutuscove.entry import app
from arbutuscove.entry import chat
from arbutuscove.entry import connections
from arbutuscove.entry import entries
from arbutuscove.entry import memory
from arbutuscove.entry import plain
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.leases import holder
from arbutuscove.limits import service as limits_service
from arbutuscove.membership import service as membership_service
from arbutuscove.observe import journal as journal_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.paths import preference
from arbutuscove.peers import client as peer_client
from arbutuscove.peers import peer_pb2
from arbutuscove.peers import server as peer_server
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import controller
from arbutuscove.replicas import directory as directory_module
from arbutuscove.replicas import downtime
from arbutuscove.replicas import drains
from arbutuscove.replicas import evacuations
from arbutuscove.requests import attempts
from arbutuscove.requests import claims
from arbutuscove.requests import flow
from arbutuscove.requests import once
from arbutuscove.requests import resume
from arbutuscove.requests import suspects
from arbutuscove.routing import credits
from arbutuscove.routing import service as routing_service
from arbutuscove.storage import http
from arbutuscove.storage import inventory as inventory_module
from arbutuscove.storage import objects as objects_module
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import pool

# Of a request's body: the body, its decoded or encoded form, and the answer,
# which is held as a whole unless it is streamed.
BODY_COPIES = 4


def build_kernel(settings: settings_module.Settings) -> services.Kernel:
    """Builds a kernel with all services of a daemon, without starting them."""
    clock = clock_module.SystemClock()
    # Unique to the process: a restarted daemon must not be mistaken for the
    # previous process, which may hold leases and own claims.
    identity = f"{settings.name}.{uuid.uuid4().hex[:12]}"
    generator = random.Random(identity)
    table = table_module.HttpTable(http.Address.parse(settings.table))
    objects = objects_module.HttpObjectStore(
        http.Address.parse(settings.objects)
    )
    inventory = inventory_module.HttpInventory(
        http.Address.parse(settings.inventory)
    )
    lag_monitor = loop.LagMonitor(clock)
    metrics = metrics_module.Metrics()
    journal = journal_module.Journal(settings.name, clock)
    config = follower.ConfigFollower(table, clock)
    peers = peer_client.PeerClient(metrics.peer_calls.inc)
    membership = membership_service.Membership(
        _build_member(settings),
        settings.peers,
        clock,
        peers,
        config,
        lag_monitor,
    )
    listing = listing_module.UpstreamListing(
        lambda: board.get_vms(), config.get_snapshot
    )
    paths = paths_module.DaemonPaths(
        settings, clock, membership, lag_monitor, listing, generator
    )
    engines = pool.EnginePool(
        paths.upstreams, lambda address: board.is_address_evacuated(address)
    )
    paths.add_idle_closer(engines.close_idle)
    board = board_module.StatusBoard(
        inventory,
        engines,
        clock,
        membership,
        peers,
        identity,
        drains.DrainedVms(table).read,
        evacuations.EvacuatedDomains(
            table, metrics.evacuation_rows_skipped.inc
        ).read,
    )
    directory = directory_module.ReplicaDirectory(
        table,
        board,
        clock,
        lambda: [member.peer_address for member in membership.get_alive()],
        peers,
    )
    leases = holder.LeaseHolder(
        identity, table, clock, lag_monitor, get_era=table.get_era
    )
    replica_controller = controller.ReplicaController(
        identity,
        table,
        clock,
        config,
        leases,
        board,
        directory,
        engines,
        paths.may_judge,
    )
    limits = limits_service.Limits(
        table, clock, config, generator, table.get_era
    )
    routing = routing_service.Routing(
        clock, directory, lambda: _read_demands(membership), generator
    )
    admission = admission_service.Admission(
        clock, routing, lag_monitor, membership.set_loads
    )
    resume_tokens = resume.ResumeTokens(settings.resume_secret)
    retry_budget = attempts.RetryBudget()
    suspect_tracker = suspects.SuspectTracker(
        table,
        clock,
        identity,
        engines,
        directory.list_serving,
        membership.probe_peers,
        table.get_era,
        paths.upstreams.has_path,
    )
    membership.set_suspicion_source(suspect_tracker)
    membership.set_evidence_source(suspect_tracker.evidence)
    request_flow = flow.RequestFlow(
        clock,
        admission,
        limits,
        engines,
        resume_tokens,
        generator,
        retry_budget,
        suspect_tracker,
        routing.record_rejection,
    )
    at_most_once = once.AtMostOnce(
        claims.Claims(table, clock, identity, table.get_era), objects
    )
    operations = operations_module.Operations(
        settings.name,
        table,
        clock,
        admin_keys.AdminKeys(table, clock, settings.admin_key_digest),
        config,
        directory,
        board,
        admission,
        membership,
        journal,
    )
    memory_bytes = settings.memory_mb * memory.MEGABYTE
    budget = memory.create_budget(memory_bytes, clock, BODY_COPIES)
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = connections.compute_bounds(memory_bytes, max_descriptors)
    shared_places = connections.create_places(bounds)
    admin = admin_api.AdminServer(
        http.Address.parse_listen(settings.admin_listen),
        operations,
        lambda code: metrics.refusals.inc({"code": code}),
        budget,
        shared_places,
    )
    entry = app.EntryServer(
        http.Address.parse_listen(settings.listen),
        clock,
        config,
        chat.ChatHandler(
            clock, request_flow, at_most_once, resume_tokens, metrics
        ),
        plain.PlainHandler(
            at_most_once,
            generator,
            clock,
            limits,
            retry_budget,
            paths.upstreams,
            lambda address, domain: (
                board.is_domain_evacuated(domain)
                or board.is_address_evacuated(address)
            ),
        ),
        lambda: _list_entries(membership),
        metrics,
        journal.create_id,
        settings_module.get_address_ttl(settings),
        bounds,
        budget,
        shared_places,
    )
    kernel = services.Kernel()
    for name, service in (
        (loop.SERVICE_NAME, lag_monitor),
        (metrics_module.SERVICE_NAME, metrics),
        (journal_module.SERVICE_NAME, journal),
        (follower.SERVICE_NAME, config),
        (peer_client.SERVICE_NAME, peers),
        (
            peer_server.SERVICE_NAME,
            peer_server.PeerServer(
                settings.peer_listen,
                membership,
                board,
                directory,
                peer_server.compute_max_connections(max_descriptors),
            ),
        ),
        *paths.list_services(),
        (pool.SERVICE_NAME, engines),
        (board_module.SERVICE_NAME, board),
        (directory_module.SERVICE_NAME, directory),
        (
            downtime.SERVICE_NAME,
            downtime.DowntimeMeter(clock, config, board, directory, metrics),
        ),
        (holder.SERVICE_NAME, leases),
        (controller.SERVICE_NAME, replica_controller),
        (limits_service.SERVICE_NAME, limits),
        (routing_service.SERVICE_NAME, routing),
        (admission_service.SERVICE_NAME, admission),
        (suspects.SERVICE_NAME, suspect_tracker),
        (flow.SERVICE_NAME, request_flow),
        (once.SERVICE_NAME, at_most_once),
        (admin_api.SERVICE_NAME, admin),
        (app.SERVICE_NAME, entry),
        # Registered last and therefore drained first: peers then omit this
        # daemon from their entry lists while its entry server still serves.
        (membership_service.SERVICE_NAME, membership),
    ):
        kernel.register(name, service)
    return kernel


def _build_member(settings: settings_module.Settings) -> peer_pb2.Member:
    return peer_pb2.Member(
        name=settings.name,
        peer_address=settings.peer_advertise,
        entry_address=settings.advertise,
        region=settings.region,
        failure_domain=settings.failure_domain,
        state=peer_pb2.ALIVE,
        tunnel_address=settings_module.get_tunnel_address(settings),
    )


def _read_demands(
    membership: membership_service.Membership,
) -> credits.Demands:
    own = membership.get_own()
    members = [*membership.get_alive(), own]
    # Members of an older version publish only a total. Next to loads by rank
    # the total would count as urgent work, so if any member publishes only a
    # total, the totals of all members are used.
    has_rank_loads = all(
        member.rank_loads or not member.load for member in members
    )
    loads = {
        member.name: (has_rank_loads and member.rank_loads) or (member.load,)
        for member in members
    }
    return credits.Demands(own=own.name, loads=loads)


def _list_entries(
    membership: membership_service.Membership,
) -> list[entries.Entry]:
    members = membership.get_alive()
    if membership.get_own().state == peer_pb2.ALIVE:
        members.append(membership.get_own())
    return [
        entries.Entry(
            url="http://" + member.entry_address,
            failure_domain=member.failure_domain,
            load=member.load,
        )
        for member in preference.prefer_reaching(members)
    ]
