"""Metrics in the Prometheus format; each name states its unit."""

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer

from arbutuscove.kernel import services

SERVICE_NAME = "metrics"
LATENCY_BUCKETS_SECONDS = [
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.7,
    3.0,
    10.0,
    60.0,
]


class Metrics(services.BaseService):
    """The metrics of one daemon."""

    def __init__(self) -> None:
        registry = aioprometheus.Registry()
        self._registry = registry
        self.requests = aioprometheus.Counter(
            "arbutuscove_requests_total",
            "Requests by service, rank, account and outcome code",
            registry=registry,
        )
        self.request_endings = aioprometheus.Counter(
            "arbutuscove_request_endings_total",
            "Requests of callers by how they ended",
            registry=registry,
        )
        self.refusals = aioprometheus.Counter(
            "arbutuscove_refusals_total",
            "Refusals by reason code",
            registry=registry,
        )
        self.body_bytes = aioprometheus.Gauge(
            "arbutuscove_body_bytes",
            "Bytes of memory reserved for the bodies of callers' requests",
            registry=registry,
        )
        self.tokens = aioprometheus.Counter(
            "arbutuscove_tokens_total",
            "Answer events relayed, by service and rank",
            registry=registry,
        )
        self.first_token = aioprometheus.Histogram(
            "arbutuscove_first_token_seconds",
            "Time from arrival to the first token, by service and rank",
            registry=registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self.peer_calls = aioprometheus.Counter(
            "arbutuscove_peer_calls_total",
            "Calls sent to other daemons, by method",
            registry=registry,
        )
        self.dispatchers = aioprometheus.Gauge(
            "arbutuscove_dispatchers",
            "Daemons that callers are sent to, as this daemon sees them",
            registry=registry,
        )
        self.is_dispatcher = aioprometheus.Gauge(
            "arbutuscove_is_dispatcher",
            "1 if callers are sent to this daemon, else 0",
            registry=registry,
        )
        self.sharers = aioprometheus.Gauge(
            "arbutuscove_slot_sharers",
            "Daemons that share the slots of engines, by their loads",
            registry=registry,
        )
        self.near_share = aioprometheus.Gauge(
            "arbutuscove_near_share",
            "Share of requests that stay in the failure domain while it has "
            "slots, by service and model",
            registry=registry,
        )
        self.domain_choices = aioprometheus.Counter(
            "arbutuscove_domain_choices_total",
            "Requests by service, model and why they stayed in the failure "
            "domain (near) or left it (overflow, borrowed, no_slot, even)",
            registry=registry,
        )
        # Each daemon reports the whole fleet, so a sum over daemons would count
        # each replica and VM several times.
        self.replicas_down = aioprometheus.Gauge(
            "arbutuscove_replicas_down",
            "Promised replicas that do not serve now, by service; "
            "the same fleet in every daemon, take the maximum",
            registry=registry,
        )
        self.group_downtime = aioprometheus.Counter(
            "arbutuscove_group_downtime_seconds_total",
            "Seconds in which promised replicas did not serve, summed over "
            "replicas, by service; the same fleet in every daemon, take the "
            "maximum",
            registry=registry,
        )
        self.stranded_vms = aioprometheus.Gauge(
            "arbutuscove_stranded_vms",
            "VMs in the VM list and in no replica that serves now (spares "
            "included), by fabric domain; the same fleet in every daemon, "
            "take the maximum",
            registry=registry,
        )
        self.stranded_time = aioprometheus.Counter(
            "arbutuscove_stranded_vm_seconds_total",
            "Seconds in which VMs were stranded, summed over VMs, by fabric "
            "domain; the same fleet in every daemon, take the maximum",
            registry=registry,
        )
        self.evacuated_domains = aioprometheus.Gauge(
            "arbutuscove_evacuated_domains",
            "Failure domains to whose VMs this daemon sends nothing",
            registry=registry,
        )
        self.evacuated_time = aioprometheus.Gauge(
            "arbutuscove_evacuated_seconds",
            "Seconds since this daemon learned of the evacuation that holds, "
            "by failure domain; 0 after its end",
            registry=registry,
        )
        self.evacuation_version = aioprometheus.Gauge(
            "arbutuscove_evacuation_version",
            "Version of the table service as of which the evacuated failure "
            "domains are known",
            registry=registry,
        )
        self.evacuation_rows_skipped = aioprometheus.Counter(
            "arbutuscove_evacuation_rows_skipped_total",
            "Rows that ask for an evacuation and were skipped, or name a "
            "failure domain that the settings do not list, by reason",
            registry=registry,
        )
        self.store_calls = aioprometheus.Counter(
            "arbutuscove_store_calls_total",
            "Calls to the platform's store, by table, operation (read, feed, "
            "write) and reason; see docs/operations/store-calls.md",
            registry=registry,
        )
        self.orders_sent = aioprometheus.Counter(
            "arbutuscove_orders_sent_total",
            "Orders to VMs of this daemon or of one that it is an agent for, "
            "by who sent them (own, agent, peer, again); see "
            "docs/operations/orders.md",
            registry=registry,
        )
        self.warming_backends = aioprometheus.Gauge(
            "arbutuscove_warming_backends",
            "Backends that warm and get a limited rate of requests; "
            "the same fleet in every daemon, take the maximum",
            registry=registry,
        )
        self.warming_sends = aioprometheus.Counter(
            "arbutuscove_warming_sends_total",
            "Requests assigned to warming backends, by service",
            registry=registry,
        )
        self.warming_passes = aioprometheus.Counter(
            "arbutuscove_warming_passes_total",
            "Warming backends passed over for lack of a turn when requests "
            "were assigned, by service",
            registry=registry,
        )

    def list_collectors(self) -> list[collectors.Collector]:
        """Returns all metrics, sorted by name."""
        registered = self._registry.get_all()
        return sorted(registered, key=lambda collector: collector.name)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
            accept: the value of the `Accept` header; may be empty.

        Returns:
            The body and the headers of the response.
        """
        return renderer.render(self._registry, [accept or "text/plain"])
