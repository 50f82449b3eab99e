"""The relay's shell: listens to callers, follows the store, and stops gracefully."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
import uuid
from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..core.fleet import REREGISTRATION_S, Fleet
from ..core.ledgerwire import (
    DocumentsReply,
    DocumentsRequest,
    LedgerMessage,
    PermitReply,
    StoreUpdate,
)
from ..core.membership import View
from ..core.stopping import Shutdown
from ..core.storetimes import make_store_timeouts
from ..core.watchers import make_subscription
from ..http1.caller import CallerConnection
from ..logs import dropped_lines
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
    SERVER_KEY_PREFIX,
    VIEW_KEY,
    InvalidDocument,
    decode_config,
    decode_server,
)
from ..platform.mirror import Mirror
from ..platform.store import Store, StoreItem
from .chains import ChainCache
from .dispatch import Dispatcher
from .drain import Drain
from .handler import ReadyHandler, RelayHandler
from .ledger import LedgerClient
from .pool import Pool
from .quota import QuotaClient
from .streams import StreamRelay

SWEEP_S: Final = 0.25
# Pause before keepers are asked what they remember, in seconds: the store answers
# sooner if it is there.
ASK_S: Final = 0.25
LISTEN_BACKLOG: Final = 1024
# Share of the process's memory that cached chains may take.
CHAIN_SHARE: Final = 0.12

log = logging.getLogger(__name__)


class Relay:
    """Runs a `RelayHandler` with sockets, the store, and real time."""

    def __init__(self, cfg: NodeOptions) -> None:
        self._cfg = cfg
        self._store = Store(cfg.store, make_store_timeouts(cfg.contact_s))
        self._fleet = Fleet(cfg.drain_s)
        self._subscription = make_subscription(
            cfg.internal, cfg.domain, cfg.max_failures, cfg.change_s
        )
        self._mirror = Mirror(
            self._store,
            self._on_item,
            self._on_listed,
            subscription=self._subscription,
        )
        self._pool = Pool(self._on_stray)
        self._metrics = RelayMetrics()
        self._ledger = LedgerClient(cfg.domain, cfg.max_failures)
        self._dispatcher = Dispatcher(self._fleet, self._pool, cfg.domain)
        self._chains = ChainCache(int(cfg.memory_bytes * CHAIN_SHARE))
        streams = StreamRelay(self._dispatcher, self._ledger, self._chains)
        self._quota = QuotaClient(
            cfg.quota, lambda: self._ledger.view, lambda: self._ledger.reachable
        )
        self._handler = RelayHandler(
            self._dispatcher, streams, self._quota, self._is_ready, self._metrics
        )
        self._ready = ReadyHandler(self._is_ready)
        self._caller_conns: set[CallerConnection] = set()
        self._stop = anyio.Event()
        self._bad: dict[str, str] = {}
        self._listed = False
        self._hinted = False
        self._transport: Transport[LedgerMessage]

    async def run(self) -> None:
        """Run until told to stop."""
        log.info("relay started")
        self._transport = transport = Transport(
            f"{self._cfg.internal}#{uuid.uuid4().hex[:8]}",
            self._on_message,
            deployment=LEDGER_DEPLOYMENT,
            codec=LEDGER_CODEC,
            batch_delay_s=LEDGER_BATCH_DELAY_S,
            ack_timeouts=LEDGER_ACK_TIMEOUTS,
        )
        async with anyio.create_task_group() as group:
            self._ledger.start(transport, group)
            self._quota.start(transport)
            group.start_soon(transport.run)
            group.start_soon(self._mirror.run)
            group.start_soon(self._sweep, transport)
            group.start_soon(self._probe)
            group.start_soon(self._ask_keepers, transport)
            await serve_metrics(self._cfg.address, self._metrics.registry, group)
            group.start_soon(self._watch_signals)
            await self._serve(group)
            group.cancel_scope.cancel()
        log.info("relay stopped")

    async def _serve(self, group: TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        asked: set[CallerConnection] = set()
        listeners = [
            await loop.create_server(
                lambda: CallerConnection(self._handler, group, self._caller_conns),
                *_host_and_port(self._cfg.callers),
                backlog=LISTEN_BACKLOG,
            ),
            await loop.create_server(
                lambda: CallerConnection(self._ready, group, asked),
                *_host_and_port(self._cfg.ready),
            ),
        ]
        await self._stop.wait()
        assert self._handler.shutdown is not None, "the signal's handler has set it"
        drain = Drain(self._handler, self._ledger, self._caller_conns)
        await drain.run(self._handler.shutdown, listeners)

    # Stopping

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    log.info("reload asked for; nothing of the file may change")
                    continue
                log.info("stopping", extra={"channels": len(self._caller_conns)})
                if self._handler.shutdown is None:
                    now = asyncio.get_running_loop().time()
                    self._handler.shutdown = Shutdown(now, self._cfg.grace_s)
                self._stop.set()

    def _is_ready(self) -> bool:
        listed = self._listed or self._hinted
        known = self._handler.table is not None and listed
        return known and self._ledger.reachable and self._handler.shutdown is None

    # What keepers remember of the store

    async def _ask_keepers(self, transport: Transport[LedgerMessage]) -> None:
        """Learn from keepers what the store last said, if the store says nothing."""
        while not self._knows_enough():
            await anyio.sleep(ASK_S)
            for seed in self._cfg.seeds:
                if not self._knows_enough():
                    transport.send(seed, DocumentsRequest())

    def _knows_enough(self) -> bool:
        return self._handler.table is not None and len(self._fleet) > 0

    def _on_message(self, sender: str, message: LedgerMessage) -> None:
        if isinstance(message, StoreUpdate):
            if self._mirror.apply_update(sender, message):
                self._transport.send(sender, DocumentsRequest())
        elif isinstance(message, PermitReply):
            self._quota.receive(message)
        elif isinstance(message, DocumentsReply):
            self._take_documents(sender, message)
        else:
            self._ledger.receive(sender, message)

    def _take_documents(self, sender: str, message: DocumentsReply) -> None:
        if self._listed:
            return
        log.info(
            "store as a keeper remembers it",
            extra={
                "keeper": sender,
                "documents": len(message.documents),
                "revision": message.revision,
            },
        )
        items = [StoreItem(d.key, d.revision, d.value) for d in message.documents]
        self._mirror.apply_documents(sender, message.revision, items)
        self._hinted = True

    # What the store tells

    def _on_listed(self, present: set[str]) -> None:
        self._listed = True
        ids = {key.removeprefix(SERVER_KEY_PREFIX) for key in present}
        self._fleet.retain_only(ids, asyncio.get_running_loop().time())

    def _on_item(self, item: StoreItem) -> None:
        if item.key == CONFIG_KEY:
            self._take_config(item)
        elif item.key == VIEW_KEY and item.value is not None:
            self._take_view(item.value)
        elif item.key.startswith(SERVER_KEY_PREFIX):
            self._take_server(item)

    def _take_config(self, item: StoreItem) -> None:
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
                "a customer of the configuration makes no sense",
                extra={"config": table.version, **problem._asdict()},
            )

    def _take_view(self, value: bytes) -> None:
        try:
            self._ledger.adopt(msgspec.json.decode(value, type=View))
        except msgspec.DecodeError as exc:
            log.error(
                "value in the store does not decode",
                extra={"key": VIEW_KEY, "reason": str(exc)},
            )

    def _take_server(self, item: StoreItem) -> None:
        now = asyncio.get_running_loop().time()
        server_id = item.key.removeprefix(SERVER_KEY_PREFIX)
        if item.value is None:
            self._bad.pop(item.key, None)
            is_lease_expired = (
                self._fleet.store_unstable and self._mirror.is_catching_up
            )
            self._fleet.remove(server_id, now, is_lease_expired=is_lease_expired)
            log.info("server vanished", extra={"server": server_id})
            return
        server = decode_server(item.key, item.value)
        if isinstance(server, InvalidDocument):
            # The entry names no server to use, whatever it named before.
            self._fleet.remove(server_id, now)
            self._log_bad(server)
            return
        self._bad.pop(item.key, None)
        replaced = self._fleet.put(server)
        if replaced is not None:
            self._pool.sweep([replaced])
        log.info(
            "server known",
            extra={
                "server": server_id,
                "draining": server.draining,
                "born": server.born,
                "replaces": replaced.incarnation if replaced else "",
            },
        )

    def _log_bad(self, bad: InvalidDocument) -> None:
        """Log what does not decode, once for each reason of a key."""
        if self._bad.get(bad.key) == bad.reason:
            return
        self._bad[bad.key] = bad.reason
        log.error(
            "value in the store does not decode",
            extra={"key": bad.key, "reason": bad.reason},
        )

    def _on_stray(self, server_id: str) -> None:
        log.warning("bytes that belong to no request", extra={"server": server_id})

    def _judge_store(self) -> None:
        mirror = self._mirror
        since_s = time.monotonic() - mirror.reconnected_at
        self._handler.certain = mirror.store_reachable and self._listed
        self._fleet.store_unstable = not mirror.store_reachable or (
            mirror.was_disconnected and since_s < REREGISTRATION_S
        )

    def _measure(self) -> None:
        table = self._handler.table
        values = {
            "config_version": table.version if table else 0,
            "view_number": self._ledger.view.number,
            "ready": self._is_ready(),
            "stop_stage": (self._handler.shutdown is not None)
            + self._handler.last_call,
            "ledger_reachable": self._ledger.reachable,
            "servers_known": len(self._fleet),
            "caller_channels": len(self._caller_conns),
            "server_channels_opened": self._pool.opened,
            "store_calls": self._store.call_count,
            "store_revision": self._mirror.revision,
            "store_watched": self._mirror.is_watching,
            "ledger_resent": self._ledger.resent,
            "chain_bytes": self._chains.held_bytes,
            "log_lines_dropped": dropped_lines(),
        }
        for name, value in values.items():
            self._metrics.gauges[name].set(value)

    async def _probe(self) -> None:
        while True:
            await self._ledger.probe()
            await anyio.sleep(SWEEP_S)

    async def _sweep(self, transport: Transport[LedgerMessage]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for caller_conn in list(self._caller_conns):
                caller_conn.enforce_timeouts(now)
            self._judge_store()
            self._subscription.set_view(self._ledger.view, now)
            for address, wish in self._subscription.due_subscriptions(now):
                transport.send(address, wish)
            self._pool.sweep(self._fleet.remove_expired(now))
            self._measure()
            await anyio.sleep(SWEEP_S)


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
