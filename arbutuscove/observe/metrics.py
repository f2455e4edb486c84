"""Metrics in Prometheus form; each name carries its unit."""

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer

from arbutuscove.kernel import services

SERVICE_NAME = "metrics"
LATENCY_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 60.0]


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
        self.refusals = aioprometheus.Counter(
            "arbutuscove_refusals_total",
            "Refusals by reason code",
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
            buckets=LATENCY_BUCKETS,
        )
        self.peer_calls = aioprometheus.Counter(
            "arbutuscove_peer_calls_total",
            "Calls sent to other daemons, by method",
            registry=registry,
        )

    def list_collectors(self) -> list[collectors.Collector]:
        """Returns all metrics in order of their names."""
        found = self._registry.get_all()
        return sorted(found, key=lambda item: item.name)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics page and its headers."""
        return renderer.render(self._registry, [accept or "text/plain"])
