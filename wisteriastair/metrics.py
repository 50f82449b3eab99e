"""Metrics in the Prometheus format, and the health check of a daemon.

Values are read from the core at each scrape, so nothing is counted twice and the core
does not depend on metrics.
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


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"wisteriastair_{name}", help_text, value=value)


def _counter(name: str, help_text: str, value: float) -> Metric:
    return CounterMetricFamily(f"wisteriastair_{name}", help_text, value=value)


def _transport_metrics(counters: TransportCounters) -> Iterable[Metric]:
    yield _counter("messages_sent", "Messages to peers", counters.messages_sent)
    yield _counter("messages_received", "Messages of peers", counters.messages_received)
    yield _counter("peer_bytes_sent", "Bytes to peers", counters.bytes_sent)
    yield _counter("peer_redials", "Silent connections replaced", counters.reconnects)
    yield _counter(
        "frames_foreign", "Frames of others dropped", counters.foreign_frames
    )
    yield _counter("messages_dropped", "Messages over the queue", counters.dropped)


class _SideCollector(Collector):
    def __init__(
        self, core: SideCore, counters: TransportCounters, busy_s: Callable[[], float]
    ) -> None:
        self._core = core
        self._counters = counters
        self._busy_s = busy_s

    def collect(self) -> Iterable[Metric]:
        core = self._core
        yield from _transport_metrics(self._counters)
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
    for state, value in (("queued", queued), ("running", running)):
        metric = GaugeMetricFamily(
            f"wisteriastair_gate_{state}", f"Calls {state}", labels=["server"]
        )
        metric.add_metric([server], value)
        yield metric


class _EntryCollector(Collector):
    def __init__(self, core: EntryCore, counters: TransportCounters) -> None:
        self._core = core
        self._counters = counters

    def collect(self) -> Iterable[Metric]:
        core = self._core
        yield from _transport_metrics(self._counters)
        yield _gauge("requests_waiting", "Requests waiting", core.waiting)
        yield _gauge("config_revision", "Configuration in force", core.revision)


def metrics_route(collector: Collector) -> Route:
    """Create the HTTP route that serves metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)

    async def scrape(req: Request) -> Response:
        return Response(generate_latest(registry), media_type="text/plain")

    return Route("/metrics", scrape)


def make_side_app(
    member: str,
    core: SideCore,
    counters: TransportCounters,
    busy_s: Callable[[], float],
) -> Starlette:
    """Make the HTTP application of a side process: metrics and health check.

    Parameters
    ----------
    member : str
        Member id of the process.
    core : SideCore
        Core whose values are reported.
    counters : TransportCounters
        Counters of the connections to other processes.
    busy_s : callable
        Returns the seconds spent in the core since the start.
    """

    async def health(req: Request) -> Response:
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

    collector = _SideCollector(core, counters, busy_s)
    return Starlette(routes=[metrics_route(collector), Route("/healthz", health)])


def entry_metrics_route(core: EntryCore, counters: TransportCounters) -> Route:
    """Create the HTTP route that serves the metrics of an entry."""
    return metrics_route(_EntryCollector(core, counters))
