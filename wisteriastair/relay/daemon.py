"""The relay process: listens for callers, follows the store, and stops gracefully."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
import uuid
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..clocks import stamp_ms
from ..core.crashwire import CrashUpdate
from ..core.ledgerwire import (
    DocumentsReply,
    DocumentsRequest,
    LedgerMessage,
    PermitReply,
    PictureUpdate,
    StoreUpdate,
)
from ..core.stopping import Shutdown
from ..core.storetimes import make_store_timeouts
from ..core.watchers import crash_keepers, make_subscription
from ..http1.caller import CallerConnection
from ..http1.listener import listen, serve_socket
from ..http1.monitor import BufferMonitor, make_meter
from ..logs import dropped_line_count
from ..nodemetrics import RelayMetrics, serve_metrics
from ..nodeoptions import NodeOptions
from ..peers.ledgercodec import (
    LEDGER_ACK_TIMEOUTS,
    LEDGER_BATCH_DELAY_S,
    LEDGER_CODEC,
    LEDGER_DEPLOYMENT,
)
from ..peers.transport import Transport
from ..platform.documents import (
    CONFIG_KEY,
    QUARANTINE_KEY_PREFIX,
    SERVER_KEY_PREFIX,
    VIEW_KEY,
    InvalidDocument,
    decode_config,
    decode_server,
    decode_view,
)
from ..platform.mirror import Mirror
from ..platform.quarantine import apply_record
from ..platform.store import Store, StoreItem
from ..scheduling.connections import make_connection_limits
from ..scheduling.crashes import CrashTable
from ..scheduling.fleet import Fleet
from ..sockets import max_open_descriptors
from .admission import AdmissionGate
from .chains import ChainCache
from .crashes import CrashMonitor
from .crashshare import CrashShare
from .dispatch import Dispatcher
from .drain import Drain
from .engine_order import EngineOrder
from .handler import ReadyHandler, RelayHandler
from .ledger import LedgerClient
from .picture import PictureClient
from .pool import ConnectionPool
from .pressure import make_relay_pressure
from .quota import QuotaClient
from .streams import StreamRelay

SWEEP_INTERVAL_S: Final = 0.25
# Pause between requests to keepers for their copies of the store's documents.  A
# reachable store answers within the first pause.
DOCUMENTS_REQUEST_INTERVAL_S: Final = 0.25
# Age of the servers' entries above which it makes no difference, in seconds.
MAX_OBSERVED_AGE_S: Final = 3600.0
# Fraction of the process's memory for cached chains.
CHAIN_CACHE_FRACTION: Final = 0.12

log = logging.getLogger(__name__)


class Relay:
    """Runs a `RelayHandler` with sockets, the store, and real time."""

    def __init__(self, cfg: NodeOptions) -> None:
        self._cfg = cfg
        self._store = Store(cfg.store_address, make_store_timeouts(cfg.contact_s))
        self._fleet = Fleet(cfg.drain_s)
        self._subscription = make_subscription(
            cfg.internal_address, cfg.domain, cfg.max_failures, cfg.change_deadline_s
        )
        self._mirror = Mirror(
            self._store,
            self._on_item,
            self._on_listed,
            subscription=self._subscription,
        )
        self._metrics = RelayMetrics()
        cache_bytes = int(cfg.memory_bytes * CHAIN_CACHE_FRACTION)
        self._pressure = make_relay_pressure(cfg, cache_bytes, self._metrics)
        self._meter = (
            self._pressure.meter
            if self._pressure
            else make_meter(cfg.memory_bytes, cache_bytes)
        )
        self._connection_limits = make_connection_limits(
            cfg.memory_bytes, cache_bytes, max_open_descriptors(cfg.max_descriptors)
        )
        self._pool = ConnectionPool(self._on_unexpected_data, self._meter)
        self._ledger = LedgerClient(cfg.domain, cfg.max_failures)
        self._picture = PictureClient(
            self._fleet,
            cfg.domain,
            cfg.max_failures,
            lambda: self._ledger.view,
            has_memory_pressure=cfg.has_memory_pressure,
        )
        self._crash_share = CrashShare(
            CrashTable(cfg.crash_limits),
            lambda: crash_keepers(self._ledger.view, cfg.max_failures),
        )
        self._crashes = CrashMonitor(self._pool, self._metrics, self._crash_share)
        self._dispatcher = Dispatcher(
            self._fleet, self._pool, cfg.domain, self._crashes, self._picture.picture
        )
        self._dispatcher.on_write = self._observe_entries_age
        self._chains = ChainCache(cache_bytes)
        order = EngineOrder(
            self._fleet,
            name=cfg.name,
            has_memory_pressure=cfg.has_memory_pressure,
            # The picture counts a shared prefix once for each request, so engines with
            # free memory seem full and requests wait for nothing.
            counts_memory=False,
            is_paced=self._dispatcher.is_paced,
            shared=self._picture.picture,
        )
        streams = StreamRelay(self._dispatcher, self._ledger, self._chains, order)
        self._quota = QuotaClient(
            cfg.quota, lambda: self._ledger.view, lambda: self._ledger.is_reachable
        )
        self._admission = AdmissionGate(
            self._fleet,
            self._metrics,
            is_paced=self._dispatcher.is_paced,
            has_memory_pressure=cfg.has_memory_pressure,
            shared=self._picture.picture,
        )
        self._handler = RelayHandler(
            self._dispatcher,
            streams,
            self._quota,
            self._is_ready,
            self._metrics,
            self._pressure,
            self._admission,
        )
        self._ready = ReadyHandler(self._is_ready)
        self._caller_conns: set[CallerConnection] = set()
        self._shutdown_requested = anyio.Event()
        self._logged_errors: dict[str, str] = {}
        self._has_listing = False
        self._has_keeper_documents = False
        self._transport: Transport[LedgerMessage]

    async def run(self) -> None:
        """Run until a signal requests a shutdown."""
        log.info("relay started")
        self._transport = transport = Transport(
            f"{self._cfg.internal_address}#{uuid.uuid4().hex[:8]}",
            self._on_message,
            deployment=LEDGER_DEPLOYMENT,
            codec=LEDGER_CODEC,
            batch_delay_s=LEDGER_BATCH_DELAY_S,
            ack_timeouts=LEDGER_ACK_TIMEOUTS,
        )
        async with anyio.create_task_group() as group:
            self._ledger.start(transport, group)
            self._quota.start(transport)
            self._crash_share.start(transport)
            self._crashes.start(group)
            group.start_soon(transport.run)
            group.start_soon(self._mirror.run)
            group.start_soon(self._sweep, transport)
            group.start_soon(self._probe_ledger)
            group.start_soon(self._picture.run, transport)
            group.start_soon(self._request_documents, transport)
            if self._pressure is not None:
                group.start_soon(self._pressure.run)
            else:
                group.start_soon(BufferMonitor(self._meter.buffers).run)
            await serve_metrics(
                self._cfg.ip_address, self._metrics.registry, group, self._meter
            )
            group.start_soon(self._watch_signals)
            await self._serve(group)
            group.cancel_scope.cancel()
        log.info("relay stopped")

    async def _serve(self, group: TaskGroup) -> None:
        listeners = [
            await serve_socket(
                lambda: CallerConnection(
                    self._handler,
                    group,
                    self._caller_conns,
                    self._meter,
                    self._connection_limits.callers,
                ),
                *_host_and_port(self._cfg.caller_address),
            ),
            await listen(
                self._ready,
                *_host_and_port(self._cfg.ready_address),
                group,
                self._meter,
            ),
        ]
        await self._shutdown_requested.wait()
        assert self._handler.shutdown is not None, "set together with the event"
        drain = Drain(self._handler, self._ledger, self._caller_conns)
        await drain.run(self._handler.shutdown, listeners)

    # Shutdown

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for signum in signals:
                if signum == signal.SIGHUP:
                    log.info("SIGHUP ignored: settings cannot be reloaded")
                    continue
                log.info("stopping", extra={"channels": len(self._caller_conns)})
                if self._handler.shutdown is None:
                    now = asyncio.get_running_loop().time()
                    self._handler.shutdown = Shutdown(now, self._cfg.grace_s)
                self._shutdown_requested.set()

    def _is_ready(self) -> bool:
        has_documents = self._has_listing or self._has_keeper_documents
        is_configured = self._handler.table is not None and has_documents
        return (
            is_configured
            and self._ledger.is_reachable
            and self._handler.shutdown is None
            and (self._pressure is None or self._pressure.is_ready)
        )

    # Documents of the store, received from keepers

    async def _request_documents(self, transport: Transport[LedgerMessage]) -> None:
        """Request the documents from keepers while the store does not answer."""
        while not self._has_config_and_servers():
            await anyio.sleep(DOCUMENTS_REQUEST_INTERVAL_S)
            for seed in self._cfg.seeds:
                if not self._has_config_and_servers():
                    transport.send(seed, DocumentsRequest())

    def _has_config_and_servers(self) -> bool:
        return self._handler.table is not None and len(self._fleet) > 0

    def _on_message(self, sender: str, message: LedgerMessage) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, StoreUpdate):
            if self._mirror.apply_update(sender, message):
                self._transport.send(sender, DocumentsRequest())
        elif isinstance(message, PermitReply):
            self._quota.receive(message)
        elif isinstance(message, PictureUpdate):
            self._picture.receive(sender, message, now)
        elif isinstance(message, CrashUpdate):
            self._crash_share.receive(sender, message, now)
        elif isinstance(message, DocumentsReply):
            self._apply_documents(sender, message)
        else:
            self._ledger.receive(sender, message)

    def _apply_documents(self, sender: str, message: DocumentsReply) -> None:
        if self._has_listing:
            return
        log.info(
            "store documents received from a keeper",
            extra={
                "keeper": sender,
                "documents": len(message.documents),
                "revision": message.revision,
            },
        )
        items = [StoreItem(d.key, d.revision, d.value) for d in message.documents]
        self._mirror.apply_documents(sender, message.revision, items)
        self._has_keeper_documents = True

    # Changes of the store

    def _on_listed(self, present: set[str]) -> None:
        self._has_listing = True
        ids = {key.removeprefix(SERVER_KEY_PREFIX) for key in present}
        self._fleet.retain_only(
            ids,
            asyncio.get_running_loop().time(),
            is_lease_expired=self._is_lease_expired(),
        )

    def _on_item(self, item: StoreItem) -> None:
        if item.key == CONFIG_KEY:
            self._apply_config(item)
        elif item.key == VIEW_KEY and item.value is not None:
            self._apply_view(item.value)
        elif item.key.startswith(SERVER_KEY_PREFIX):
            self._apply_server(item)
        elif item.key.startswith(QUARANTINE_KEY_PREFIX):
            now = asyncio.get_running_loop().time()
            apply_record(self._crashes.table, item.key, item.value, now)

    def _apply_config(self, item: StoreItem) -> None:
        if item.value is None:
            log.warning("configuration removed from the store; the last one stays")
            return
        table = decode_config(item.value)
        if isinstance(table, InvalidDocument):
            log.error(
                "value in the store does not decode",
                extra={"key": table.key, "reason": table.reason},
            )
            return
        if (
            self._handler.table is not None
            and table.version <= self._handler.table.version
        ):
            log.info(
                "older configuration ignored",
                extra={"config": table.version, "source": self._mirror.source},
            )
            return
        self._handler.table = table
        log.info(
            "configuration in force",
            extra={
                "config": table.version,
                "revision": item.revision,
                "source": self._mirror.source,
                "routes": len(table.routes),
                "customers": len(table.customers.by_name) if table.customers else 0,
            },
        )
        for problem in table.customers.problems if table.customers else ():
            log.warning(
                "invalid customer in the configuration",
                extra={"config": table.version, **problem._asdict()},
            )

    def _apply_view(self, value: bytes) -> None:
        view = decode_view(value)
        if isinstance(view, InvalidDocument):
            self._log_invalid(view)
            return
        self._ledger.adopt_view(view)
        # Before callers are served, this relay needs to know what others found.
        self._crash_share.sweep(asyncio.get_running_loop().time())

    def _apply_server(self, item: StoreItem) -> None:
        now = asyncio.get_running_loop().time()
        server_id = item.key.removeprefix(SERVER_KEY_PREFIX)
        if item.value is None:
            self._logged_errors.pop(item.key, None)
            is_lease_expired = self._is_lease_expired()
            state = self._fleet.get(server_id)
            if state is not None and state.accepts_requests() and not is_lease_expired:
                self._crashes.record_removed(state.server)
            # The entry may have ended at any time since the last known state. Around
            # an outage that would tell nothing of the server.
            is_stable = not is_lease_expired and not self._fleet.store_unstable
            age_s = self._mirror.age_s() if is_stable else 0.0
            self._fleet.remove(
                server_id, now - age_s, is_lease_expired=is_lease_expired
            )
            log.info(
                "server vanished",
                extra={
                    "server": server_id,
                    "lease_expired": is_lease_expired,
                    "at_most_ms_ago": round(min(age_s, MAX_OBSERVED_AGE_S) * 1000),
                },
            )
            return
        server = decode_server(item.key, item.value)
        if isinstance(server, InvalidDocument):
            # The server of the previous value is not used any more.
            self._fleet.remove(server_id, now)
            self._log_invalid(server)
            return
        self._logged_errors.pop(item.key, None)
        self._crashes.record_server(server)
        replaced = self._fleet.put(server)
        if replaced is not None:
            self._pool.close_unused([replaced])
        log.info(
            "server known",
            extra={
                "server": server_id,
                "draining": server.draining,
                "born": server.born,
                "replaces": replaced.incarnation if replaced else "",
            },
        )

    def _log_invalid(self, document: InvalidDocument) -> None:
        """Log a decode error, unless the last one of the key had the same reason."""
        if self._logged_errors.get(document.key) == document.reason:
            return
        self._logged_errors[document.key] = document.reason
        log.error(
            "value in the store does not decode",
            extra={"key": document.key, "reason": document.reason},
        )

    def _on_unexpected_data(self, server_id: str) -> None:
        log.warning("bytes that belong to no request", extra={"server": server_id})

    def _update_store_state(self) -> None:
        mirror, outage = self._mirror, self._mirror.outage
        self._handler.is_config_current = mirror.store_reachable and self._has_listing
        self._fleet.store_unstable = not mirror.store_reachable or (
            outage is not None
            and time.monotonic() < outage.unstable_until(self._cfg.contact_s)
        )

    def _is_lease_expired(self) -> bool:
        """Return whether an entry that is removed now may have expired in an outage."""
        outage = self._mirror.outage
        may_expire = outage is not None and outage.may_expire_leases()
        return may_expire and self._mirror.is_catching_up

    def _observe_entries_age(self) -> None:
        # Unknown until the store has answered: observed as very old.
        age_s = min(self._mirror.age_s(), MAX_OBSERVED_AGE_S)
        self._metrics.entries_age.observe(age_s)

    def _update_gauges(self) -> None:
        table = self._handler.table
        now = asyncio.get_running_loop().time()
        servers_avoided, servers_slow = self._dispatcher.count_paced_servers()
        buffers = self._meter.buffers
        values = {
            "config_version": table.version if table else 0,
            "view_number": self._ledger.view.number,
            "ready": self._is_ready(),
            "stop_stage": (self._handler.shutdown is not None)
            + self._handler.stopped_accepting,
            "ledger_reachable": self._ledger.is_reachable,
            "servers_known": len(self._fleet),
            "caller_channels": len(self._caller_conns),
            "caller_channels_limit": self._connection_limits.callers,
            "held_bytes": buffers.held_bytes,
            "arriving_bytes": buffers.arriving_bytes,
            "held_bytes_peak": buffers.peak_bytes,
            "held_bytes_limit": buffers.limits.budget_bytes,
            "buffer_refusals": buffers.refused_count,
            "server_channels_opened": self._pool.opened_count,
            "store_calls": self._store.call_count,
            "store_revision": self._mirror.revision,
            "store_watched": self._mirror.is_watching,
            "entries_age_seconds": self._mirror.age_s(),
            "ledger_resent": self._ledger.resend_count,
            "chain_bytes": self._chains.size_bytes,
            "log_lines_dropped": dropped_line_count(),
            "picture_age_seconds": self._picture.age_s(now),
            "picture_bytes_sent": self._picture.bytes_sent,
            "picture_ignored": self._picture.ignored,
            "servers_suspect": self._picture.picture.suspect_count(now),
            "load_reports_wrong": self._dispatcher.bad_load_reports,
            "silent_ends": self._dispatcher.silent_ends,
            "paced_services": len(self._dispatcher.paced_services()),
            "crash_suspects": len(self._crashes.table),
            "requests_quarantined": self._crashes.table.quarantined_count,
            "servers_avoided": servers_avoided,
            "servers_slow": servers_slow,
        }
        for name, value in values.items():
            self._metrics.gauges[name].set(value)
        for reason, count in buffers.disconnected_counts.items():
            self._metrics.buffer_disconnects.labels(reason).set(count)

    async def _probe_ledger(self) -> None:
        while True:
            await self._ledger.probe()
            await anyio.sleep(SWEEP_INTERVAL_S)

    async def _sweep(self, transport: Transport[LedgerMessage]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for caller_conn in list(self._caller_conns):
                caller_conn.enforce_timeouts(now)
            self._update_store_state()
            self._subscription.set_view(self._ledger.view, now)
            for address, message in self._subscription.due_subscriptions(
                now, stamp_ms()
            ):
                transport.send(address, message)
            self._pool.close_unused(self._fleet.remove_expired(now))
            self._update_gauges()
            self._admission.log_recovered(now)
            self._crashes.sweep(now)
            await anyio.sleep(SWEEP_INTERVAL_S)


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
