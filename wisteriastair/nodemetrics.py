"""Metrics of the processes on the users' platform, and the HTTP server for them."""

from __future__ import annotations

import logging
from typing import Final

from anyio.abc import TaskGroup
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .core.routes import CallerLimits
from .http1.caller import CallerConnection, Handler
from .http1.listener import listen
from .http1.messages import BadRequest, Request
from .http1.metering import ConnectionMeter

# deploy/system.toml contains the same port.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = "/metrics"
# In seconds, from a plain lookup on an idle server to the longest timeout of a route.
LATENCY_BUCKETS: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
# In seconds, from one sync of a disk to the timeout of a reservation.
LEDGER_BUCKETS: Final = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0)
# In seconds, from an update by a watcher to the time that a leaving server serves on.
ENTRIES_AGE_BUCKETS: Final = (0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 10.0)

# Maximum number of customers that have a label of their own.
MAX_CUSTOMERS: Final = 200
OTHER_CUSTOMERS: Final = "(others)"

log = logging.getLogger(__name__)


class RelayMetrics:
    """Counters and histograms of a relay; docs/OPERATIONS.md describes them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "wisteriastair_requests",
            "Requests ended, by what the caller was answered (0: broken off)",
            ["service", "status", "reason"],
            registry=self.registry,
        )
        self.request_duration = Histogram(
            "wisteriastair_request_seconds",
            "Seconds from the head of a request to the end of its answer",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.first_event_delay = Histogram(
            "wisteriastair_first_event_seconds",
            "Seconds from the head of a request to its first event",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.reserve_duration = Histogram(
            "wisteriastair_reserve_seconds",
            "Seconds for a durable reservation",
            buckets=LEDGER_BUCKETS,
            registry=self.registry,
        )
        self.entries_age = Histogram(
            "wisteriastair_entries_age_at_send_seconds",
            "Age of what is known of the servers when a request is written to one",
            buckets=ENTRIES_AGE_BUCKETS,
            registry=self.registry,
        )
        self.customer_requests = Counter(
            "wisteriastair_customer_requests",
            "Requests ended, by customer and what became of them",
            ["customer", "outcome"],
            registry=self.registry,
        )
        self.permit_wait = Histogram(
            "wisteriastair_permit_seconds",
            "Seconds for which requests waited for the permit of a quota",
            buckets=LEDGER_BUCKETS,
            registry=self.registry,
        )
        self.engine_turns = Counter(
            "wisteriastair_engine_turns",
            "Turns sent to an engine, by their priority there",
            ["priority"],
            registry=self.registry,
        )
        self.memory_wait = Histogram(
            "wisteriastair_memory_wait_seconds",
            "Seconds for which turns waited for memory of an engine",
            buckets=LEDGER_BUCKETS,
            registry=self.registry,
        )
        self.overload_refusals = Counter(
            "wisteriastair_overload_refusals",
            "Requests refused because the event loop or the link is overloaded",
            ["kind"],
            registry=self.registry,
        )
        self.buffer_disconnects = Gauge(
            "wisteriastair_buffer_disconnects",
            "Connections closed since start to free buffers, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.admissions = Counter(
            "wisteriastair_admissions",
            "Turns by the decision whether their program may start",
            ["service", "verdict"],
            registry=self.registry,
        )
        self.server_crashes = Counter(
            "wisteriastair_server_crashes",
            "Requests under which a server crashed, by evidence of the crash",
            ["evidence"],
            registry=self.registry,
        )
        self.servers_exposed = Counter(
            "wisteriastair_servers_exposed",
            "Servers that may have crashed under a request, once for each request",
            ["risk"],
            registry=self.registry,
        )
        self.servers_cleared = Counter(
            "wisteriastair_servers_cleared",
            "Servers that take no place of a request any more, by evidence",
            ["evidence"],
            registry=self.registry,
        )
        self.ends_after_response = Counter(
            "wisteriastair_server_ends_after_response",
            "Requests of the last two seconds of servers that ended, by their response",
            ["response"],
            registry=self.registry,
        )
        self.server_claims = Counter(
            "wisteriastair_server_claims",
            "Questions for a server beyond those that relays compute alike, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.crash_share_wait = Histogram(
            "wisteriastair_crash_share_seconds",
            "Seconds for which answers waited for a keeper to know of an end",
            buckets=LEDGER_BUCKETS,
            registry=self.registry,
        )
        self.crash_share_timeouts = Counter(
            "wisteriastair_crash_share_timeouts",
            "Answers that were sent before a keeper was known to know of an end",
            registry=self.registry,
        )
        self.resent_requests = Counter(
            "wisteriastair_resent_requests",
            "Requests sent to a server after another attempt of this relay failed",
            ["service"],
            registry=self.registry,
        )
        self._labelled_customers: set[str] = set()
        self.gauges = {
            name: Gauge(f"wisteriastair_{name}", text, registry=self.registry)
            for name, text in (
                ("config_version", "Configuration in force"),
                ("view_number", "View of the ledger's members"),
                ("ready", "1 if callers are wanted here"),
                ("stop_stage", "0 serving, 1 told to stop, 2 takes nothing more"),
                ("ledger_reachable", "1 if reservations can be expected to succeed"),
                ("servers_known", "Backend servers known"),
                ("caller_channels", "Open channels of callers"),
                ("caller_channels_limit", "Most open channels of callers"),
                ("server_channels_opened", "Channels opened to servers since start"),
                ("store_calls", "Calls to the platform's store since start"),
                ("store_revision", "Revision up to which changes are known"),
                ("store_watched", "1 if this process watches the store itself"),
                ("entries_age_seconds", "Age of the copy of the store, at most"),
                ("ledger_resent", "Ledger requests sent again since start"),
                ("chain_bytes", "Bytes of cached chains"),
                ("held_bytes", "Bytes held for callers and servers"),
                ("arriving_bytes", "Part of it that belongs to unfinished requests"),
                ("held_bytes_peak", "Most bytes held at a time since start"),
                ("held_bytes_limit", "Budget for held bytes"),
                ("buffer_refusals", "Requests refused since start: buffers full"),
                ("loop_lag_seconds", "Smoothed lag of the event loop"),
                ("link_use", "Used part of the link in the busier direction"),
                ("log_lines_dropped", "Log lines that were not taken in time"),
                ("picture_age_seconds", "Age of the shared picture, -1 without one"),
                ("picture_bytes_sent", "Bytes of reports of servers sent since start"),
                ("picture_ignored", "Parts of replies ignored or clipped since start"),
                ("servers_suspect", "Servers that are suspect"),
                ("crash_suspects", "Requests under which servers have crashed"),
                ("requests_quarantined", "Requests not sent any more for crashes"),
                ("load_reports_wrong", "Wrong load reports of servers since start"),
                ("silent_ends", "Requests ended at a silent server since start"),
                ("paced_services", "Services chosen by predicted finish"),
                ("servers_avoided", "Servers of paced services that seem to hang"),
                ("servers_slow", "Servers of paced services at under 0.7 of the pace"),
            )
        }

    def count_customer_request(self, customer: str, outcome: str) -> None:
        """Count a request of a customer by its outcome.

        Labels for thousands of customers would add megabytes to a scrape.  Only the
        first `MAX_CUSTOMERS` customers have labels; the others are counted together.
        """
        if len(self._labelled_customers) < MAX_CUSTOMERS:
            self._labelled_customers.add(customer)
        label = customer if customer in self._labelled_customers else OTHER_CUSTOMERS
        self.customer_requests.labels(label, outcome).inc()


class KeeperMetrics:
    """Counters and histograms of a keeper."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.sync_duration = Histogram(
            "wisteriastair_sync_seconds",
            "Seconds to write and sync one batch",
            buckets=LEDGER_BUCKETS,
            registry=self.registry,
        )
        self.records_written = Counter(
            "wisteriastair_records", "Records written", registry=self.registry
        )
        self.gauges = {
            name: Gauge(f"wisteriastair_{name}", text, registry=self.registry)
            for name, text in (
                ("view_number", "View of the ledger's members"),
                ("view_changing", "1 while a change of members lasts"),
                ("accounts", "Programs in the ledger"),
                ("accounts_dormant", "Programs of which only attempts are retained"),
                ("turn_bytes", "Bytes of kept turns"),
                ("turn_bytes_reserved", "Bytes of room for turns that are running"),
                ("turns_refused", "Turns refused because there was no room"),
                (
                    "accounts_extended",
                    "Accounts retained because another replica had used them",
                ),
                ("stale_refused", "Requests under an older view refused"),
                (
                    "quota_plans",
                    "Plans of programs over a customer's quota since start",
                ),
                ("quota_programs_refused", "Running programs refused by these plans"),
                ("store_calls", "Calls to the platform's store since start"),
                ("store_revision", "Revision up to which changes are known"),
                ("store_watched", "1 if this process watches the store itself"),
                ("log_lines_dropped", "Log lines that were not taken in time"),
                ("picture_relays", "Relays that report servers to this process"),
                ("picture_bytes_sent", "Bytes of merged pictures sent since start"),
                ("picture_ignored", "Parts of reports ignored or clipped since start"),
                ("crash_suspects", "Requests under which servers have crashed"),
                ("requests_quarantined", "Requests not sent any more for crashes"),
            )
        }


class MetricsHandler(Handler):
    """Serves the metrics of a process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be read."""
        caller_conn.respond(bad.status, [], bad.reason.encode())

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Respond to a request for the metrics."""
        if req.path != METRICS_PATH:
            caller_conn.respond(404, [], b"")
            return
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        caller_conn.respond(200, [content_type], generate_latest(self._registry))


async def serve_metrics(
    address: str, registry: CollectorRegistry, group: TaskGroup, meter: ConnectionMeter
) -> None:
    """Listen for scrapes; if the port is in use, metrics are not served."""
    try:
        await listen(MetricsHandler(registry), address, METRICS_PORT, group, meter)
    except OSError as exc:
        log.warning("no metrics", extra={"reason": str(exc), "port": METRICS_PORT})
