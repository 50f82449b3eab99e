"""Metrics in the Prometheus format, and the health of a daemon.

Values are read from the core when a scrape asks, so nothing is counted twice and the
core knows nothing of metrics.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .core.entry import EntryCore
from .core.side import SideCore
from .peers.transport import TransportCounters


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"wisteriastair_{name}", text, value=value)


def _counter(name: str, text: str, value: float) -> Metric:
    return CounterMetricFamily(f"wisteriastair_{name}", text, value=value)


def _transport_metrics(counts: TransportCounters) -> Iterable[Metric]:
    yield _counter("messages_sent", "Messages to peers", counts.messages_sent)
    yield _counter("messages_received", "Messages of peers", counts.messages_received)
    yield _counter("peer_bytes_sent", "Bytes to peers", counts.bytes_sent)
    yield _counter("peer_redials", "Silent connections replaced", counts.reconnects)
    yield _counter("frames_foreign", "Frames of others dropped", counts.foreign_frames)
    yield _counter("messages_dropped", "Messages over the queue", counts.dropped)


class _SideCollector(Collector):
    def __init__(
        self, core: SideCore, counts: TransportCounters, busy_s: Callable[[], float]
    ) -> None:
        self._core = core
        self._counts = counts
        self._busy_s = busy_s

    def collect(self) -> Iterable[Metric]:
        core = self._core
        yield from _transport_metrics(self._counts)
        yield _gauge("slots_held", "Slots carried or copied", core.slots.count())
        yield _gauge("programs_active", "Programs under way", core.programs.active)
        yield _counter("programs_ended", "Programs ended", core.primary.finished_count)
        yield _counter("programs_refused", "Starts refused", core.admission.refused)
        yield _counter("table_writes", "Slot table writes", core.placement.writes)
        yield _counter("docs_refused", "Older documents refused", core.docs.refused)
        yield _counter("busy_seconds", "Seconds in the core", self._busy_s())
        for key, revision in core.docs.revisions().items():
            metric = GaugeMetricFamily(
                "wisteriastair_revision", "Document revision", labels=["key"]
            )
            metric.add_metric([key], revision)
            yield metric
        for name, gate in core.gates.items():
            load = gate.load()
            yield from _gate_metrics(name, load.queued, load.running)


def _gate_metrics(server: str, queued: int, running: int) -> Iterable[Metric]:
    for what, value in (("queued", queued), ("running", running)):
        metric = GaugeMetricFamily(
            f"wisteriastair_gate_{what}", f"Calls {what}", labels=["server"]
        )
        metric.add_metric([server], value)
        yield metric


class _EntryCollector(Collector):
    def __init__(self, core: EntryCore, counts: TransportCounters) -> None:
        self._core = core
        self._counts = counts

    def collect(self) -> Iterable[Metric]:
        core = self._core
        yield from _transport_metrics(self._counts)
        yield _gauge("requests_waiting", "Requests waiting", core.waiting)
        yield _gauge("config_revision", "Configuration in force", core.revision)


def metrics_route(collector: Collector) -> Route:
    """Route that answers a scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)

    async def scrape(http: Request) -> Response:
        return Response(generate_latest(registry), media_type="text/plain")

    return Route("/metrics", scrape)


def make_side_app(
    member: str,
    core: SideCore,
    counts: TransportCounters,
    busy_s: Callable[[], float],
) -> Starlette:
    """Make the HTTP application of a side process: metrics and health.

    Parameters
    ----------
    member : str
        The process by address and start.
    core : SideCore
        Whose values are read at each scrape.
    counts : TransportCounters
        What its connections to other processes have carried.
    busy_s : callable
        Returns the seconds that the core has taken since the start.
    """

    async def health(http: Request) -> Response:
        return JSONResponse(
            {
                "member": member,
                "slots": core.slots.count(),
                "carried": len(core.slots.open_slots()),
                "active": core.programs.active,
                "revisions": core.docs.revisions(),
                "holds": {
                    name: gate.leased_programs() for name, gate in core.gates.items()
                },
                "draining": core.peers.draining,
            }
        )

    collector = _SideCollector(core, counts, busy_s)
    return Starlette(routes=[metrics_route(collector), Route("/healthz", health)])


def entry_metrics_route(core: EntryCore, counts: TransportCounters) -> Route:
    """Route that answers a scrape of an entry."""
    return metrics_route(_EntryCollector(core, counts))
