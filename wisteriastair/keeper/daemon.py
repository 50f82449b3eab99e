"""Keeper process: sockets, platform store and timers around `KeeperCore`.

Everything runs in one event loop on one thread, except the writing of the documents
file.
"""

from __future__ import annotations

import logging
import os
import signal
import time
import uuid
from typing import Final

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from ..clocks import boot_clock, stamp_ms
from ..core.crashwire import CrashReport, CrashUpdate
from ..core.keeper import KeeperCore
from ..core.ledgerwire import (
    Document,
    DocumentsReply,
    DocumentsRequest,
    DomainSums,
    LedgerMessage,
    RelayDigest,
    StoreUpdate,
    Subscribe,
)
from ..core.membership import Member, View, next_view
from ..core.storetimes import make_store_timeouts
from ..core.watchers import Subscribers, crash_keepers, make_subscription
from ..http1.monitor import BufferMonitor, make_meter
from ..logs import dropped_line_count
from ..nodemetrics import KeeperMetrics, serve_metrics
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
    RETIRE_DONE,
    RETIRE_KEY_PREFIX,
    RETIRE_RUNNING,
    RETIRE_STATUS_KEY_PREFIX,
    SERVER_KEY_PREFIX,
    VIEW_KEY,
    InvalidDocument,
    decode_config,
    decode_view,
)
from ..platform.mirror import Mirror
from ..platform.store import Store, StoreError, StoreItem, Swapped
from ..scheduling.claims import CLAIM_S, ClaimTable
from ..scheduling.crashes import CrashTable
from .crashes import CrashKeeper
from .crashfile import ClaimFile, CrashFile
from .documents import Documents
from .log import Log
from .picture import PictureKeeper
from .quarantine import QuarantineRecords
from .storage import Storage

TICK_INTERVAL_S: Final = 0.1
# Delay between the last heartbeat and the close of the connections: several times the
# latency to another failure domain.
LAST_HEARTBEAT_DELAY_S: Final = 0.03
# Fraction of the memory of the process that stored turns may use.
TURN_MEMORY_FRACTION: Final = 0.4
# Delay of the next proposal after one that did not take effect.
PROPOSAL_RETRY_S: Final = 0.3
# Interval of checks for expired accounts and old segments.
RECLAIM_INTERVAL_S: Final = 5.0
# Interval of writes of quarantined requests to the store.
RECORD_INTERVAL_S: Final = 1.0
# Interval of checks for changed documents that must be saved.
SAVE_INTERVAL_S: Final = 0.5
# Pause after the sums of crashes were saved: much shorter than relays wait for replies.
SAVE_CRASHES_PAUSE_S: Final = 0.02
# Keys whose values are cached for relays that start.
CACHED_PREFIXES: Final = (SERVER_KEY_PREFIX, QUARANTINE_KEY_PREFIX)

log = logging.getLogger(__name__)


class Keeper:
    """Runs a `KeeperCore` with a real clock, sockets and a disk."""

    def __init__(self, cfg: NodeOptions) -> None:
        self._cfg = cfg
        self._log = Log(os.path.join(cfg.data_dir, "ledger"))
        self._documents = Documents(os.path.join(cfg.data_dir, "store"))
        self._store = Store(cfg.store_address, make_store_timeouts(cfg.contact_s))
        self._subscription = make_subscription(
            cfg.internal_address, cfg.domain, cfg.max_failures, cfg.change_deadline_s
        )
        self._subscribers = Subscribers()
        self._mirror = Mirror(
            self._store,
            self._on_item,
            self._on_listed,
            subscription=self._subscription,
            on_update=self._publish,
            has_subscribers=lambda: self._subscribers.has_active(boot_clock()),
        )
        self._picture = PictureKeeper(
            cfg.internal_address, cfg.max_failures, time.monotonic()
        )
        self._crashes = CrashKeeper(CrashTable(cfg.crash_limits))
        self._crash_file = CrashFile(os.path.join(cfg.data_dir, "store"))
        self._is_saving_crashes = False
        self._claim_file = ClaimFile(os.path.join(cfg.data_dir, "store"))
        self._crashes_changed = anyio.Event()
        # Replies that are sent once the sums are saved.
        self._crash_replies: list[tuple[str, CrashUpdate]] = []
        self._quarantine = QuarantineRecords(self._crashes, self._store)
        self._stop = anyio.Event()
        self._metrics = KeeperMetrics()
        self._reported_done: set[str] = set()
        self._retiring: set[str] = set()
        # Version of the configuration whose quotas are in force.
        self._config_version = -1
        self._core: KeeperCore
        self._storage: Storage
        self._transport: Transport[LedgerMessage]

    async def run(self) -> None:
        """Run until a signal stops the process."""
        self._load(time.monotonic())
        self._transport = Transport(
            f"{self._cfg.internal_address}#{uuid.uuid4().hex[:8]}",
            self._on_message,
            deployment=LEDGER_DEPLOYMENT,
            codec=LEDGER_CODEC,
            batch_delay_s=LEDGER_BATCH_DELAY_S,
            ack_timeouts=LEDGER_ACK_TIMEOUTS,
        )
        async with anyio.create_task_group() as group:
            self._start_tasks(group)
            meter = make_meter(
                self._cfg.memory_bytes,
                int(TURN_MEMORY_FRACTION * self._cfg.memory_bytes),
            )
            group.start_soon(BufferMonitor(meter.buffers).run)
            await serve_metrics(
                self._cfg.ip_address, self._metrics.registry, group, meter
            )
            await self._stop.wait()
            await self._announce_stop()
            group.cancel_scope.cancel()
        self._log.close()
        log.info("keeper stopped", extra={"disk": self._log.disk_id})

    def _load(self, now: float) -> None:
        """Read the disk.

        The records that are read are referenced only here, not while the process runs:
        most of them belong to accounts that expire.
        """
        loaded = self._log.load(now)
        self._restore_claims(now, has_run=loaded.view.number > 0)
        self._documents.load()
        self._crashes.restore(self._crash_file.load(), now)
        me = Member(
            self._cfg.name,
            self._log.disk_id,
            self._cfg.internal_address,
            self._cfg.domain,
        )
        self._core = KeeperCore(
            me,
            self._cfg.max_failures,
            view=loaded.view,
            entries=loaded.entries,
            now=now,
            max_turn_bytes=TURN_MEMORY_FRACTION * self._cfg.memory_bytes,
            quota_bounds=self._cfg.quota,
        )
        for document in self._documents.all():
            if document.key == CONFIG_KEY:
                self._apply_config(document.value)
            elif document.key.startswith(SERVER_KEY_PREFIX):
                self._picture.apply_server(document.key, document.value)
            elif document.key.startswith(QUARANTINE_KEY_PREFIX):
                self._quarantine.apply(document.key, document.value, now)
        self._storage = Storage(self._log, self._core, self._metrics)
        log.info(
            "keeper started",
            extra={
                "disk": me.disk,
                "accounts": len(self._core.ledger.accounts),
                "view": loaded.view.number,
                "cut_bytes": loaded.cut_bytes,
                "damaged": loaded.damaged,
                "first_start": self._cfg.is_first_start,
            },
        )

    def _restore_claims(self, now: float, *, has_run: bool) -> None:
        claims = self._claim_file.load()
        is_lost = claims is None and has_run
        self._crashes.claims = ClaimTable(now + CLAIM_S if is_lost else now)
        self._crashes.claims.restore(claims or [], now)

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._mirror.run)
        group.start_soon(self._save_documents)
        group.start_soon(self._save_crashes)
        group.start_soon(self._transport.run)
        group.start_soon(self._storage.run, self._send)
        group.start_soon(self._tick)
        group.start_soon(self._maintain_view)
        group.start_soon(self._reclaim_space)
        group.start_soon(self._record_quarantine)
        group.start_soon(self._watch_signals)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    log.info("SIGHUP ignored: settings cannot be reloaded")
                    continue
                log.info("stopping")
                self._stop.set()

    async def _announce_stop(self) -> None:
        self._core.announce_stop(time.monotonic())
        self._send()
        await anyio.sleep(LAST_HEARTBEAT_DELAY_S)

    # Messages and batches

    def _on_message(self, sender: str, message: LedgerMessage) -> None:
        if isinstance(message, DocumentsRequest):
            reply = DocumentsReply(self._documents.all(), self._mirror.revision)
            self._transport.send(sender, reply)
            return
        if isinstance(message, Subscribe):
            store_update = self._mirror.store_update()
            now = boot_clock()
            if self._subscribers.add(sender, message, now) and store_update:
                stamped = self._subscribers.stamp(sender, store_update, now)
                self._transport.send(sender, stamped)
            return
        if isinstance(message, StoreUpdate):
            self._mirror.apply_update(sender, message)
            return
        if isinstance(message, RelayDigest | DomainSums):
            self._merge(sender, message)
            return
        if isinstance(message, CrashReport):
            now = time.monotonic()
            self._answer_crashes(self._crashes.receive(sender, message, now))
            return
        self._core.receive(sender, message, time.monotonic())
        self._send()
        self._storage.wake()

    def _merge(self, sender: str, message: RelayDigest | DomainSums) -> None:
        self._picture.set_view(self._core.view)
        replies = self._picture.receive(sender, message, time.monotonic())
        for to, reply in replies:
            self._transport.send(to, reply)

    def _answer_crashes(self, messages: list[tuple[str, CrashUpdate]]) -> None:
        """Send updates at once, and replies when the sums are saved.

        A reply releases the answer to the caller, which may send the request again.
        """
        if not self._crashes.has_unsaved and not self._is_saving_crashes:
            self._send_crashes(messages)
            return
        self._send_crashes([m for m in messages if not m[1].op])
        self._crash_replies += [m for m in messages if m[1].op]
        self._crashes_changed.set()

    def _send_crashes(self, messages: list[tuple[str, CrashUpdate]]) -> None:
        for member, crash_update in messages:
            self._transport.send(member, crash_update)

    def _publish(self, store_update: StoreUpdate) -> None:
        for to, message in self._subscribers.make_updates(store_update, boot_clock()):
            self._transport.send(to, message)

    def _send(self) -> None:
        for to, message in self._core.drain_outbox():
            self._transport.send(to, message)

    # Time

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            self._core.tick(now)
            self._send()
            self._send_crashes(self._crashes.next_updates(now))
            self._subscription.set_view(self._core.view, now)
            for address, message in self._subscription.due_subscriptions(
                now, stamp_ms()
            ):
                self._transport.send(address, message)
            await anyio.sleep(TICK_INTERVAL_S)

    async def _reclaim_space(self) -> None:
        while True:
            await anyio.sleep(RECLAIM_INTERVAL_S)
            self._update_gauges()
            while await self._storage.reclaim_space(time.monotonic()):
                pass

    async def _record_quarantine(self) -> None:
        while True:
            await anyio.sleep(RECORD_INTERVAL_S)
            recorders = crash_keepers(self._core.view, self._cfg.max_failures)
            if self._cfg.internal_address in recorders:
                rank = recorders.index(self._cfg.internal_address)
                await self._quarantine.sync(rank, time.monotonic())

    async def _save_documents(self) -> None:
        while True:
            await anyio.sleep(SAVE_INTERVAL_S)
            if not self._documents.changed:
                continue
            try:
                data = self._documents.encode()
                await anyio.to_thread.run_sync(self._documents.save, data)
            except OSError as exc:
                log.warning("documents not saved", extra={"reason": repr(exc)})

    async def _save_crashes(self) -> None:
        while True:
            await self._crashes_changed.wait()
            self._crashes_changed = anyio.Event()
            replies, self._crash_replies = self._crash_replies, []
            has_sums = self._crashes.has_unsaved_sums
            self._is_saving_crashes = True
            try:
                await self._save_crash_files()
            except OSError as exc:
                log.warning("crashes not saved", extra={"reason": repr(exc)})
            finally:
                self._is_saving_crashes = False
            self._send_crashes(replies)
            if has_sums:
                # Reports come in bursts, when a server ends with its requests.
                await anyio.sleep(SAVE_CRASHES_PAUSE_S)

    async def _save_crash_files(self) -> None:
        """Save what has changed of crashes and claims.

        Raises
        ------
        OSError
            If a file cannot be written.
        """
        if self._crashes.has_unsaved_sums:
            entries = self._crashes.entries(time.monotonic())
            await anyio.to_thread.run_sync(self._crash_file.save, entries)
        if self._crashes.claims.has_unsaved:
            claims = self._crashes.claims.saved()
            await anyio.to_thread.run_sync(self._claim_file.save, claims)

    def _update_gauges(self) -> None:
        core = self._core
        values = {
            "view_number": core.view.number,
            "view_changing": bool(core.view.old),
            "accounts": len(core.ledger.accounts),
            "accounts_dormant": core.ledger.dormant_count,
            "turn_bytes": core.ledger.turn_bytes,
            "turn_bytes_reserved": core.room.reserved_bytes,
            "turns_refused": core.room.refused,
            "accounts_extended": core.expiry.extended,
            "stale_refused": core.stale_refused,
            "quota_plans": core.quota.plans,
            "quota_programs_refused": core.quota.programs_refused,
            "store_calls": self._store.call_count,
            "store_revision": self._mirror.revision,
            "store_watched": self._mirror.is_watching,
            "log_lines_dropped": dropped_line_count(),
            "picture_relays": self._picture.merger.relay_count,
            "picture_bytes_sent": self._picture.bytes_sent,
            "picture_ignored": self._picture.merger.counters.total,
            "crash_suspects": len(self._crashes.table),
            "requests_quarantined": self._crashes.table.quarantined_count,
        }
        for name, value in values.items():
            self._metrics.gauges[name].set(value)

    # View changes and retirement of instances

    def _on_listed(self, keys: set[str]) -> None:
        self._documents.retain_only(keys)
        self._picture.retain_only(keys)

    def _on_item(self, item: StoreItem) -> None:
        if item.key.startswith(SERVER_KEY_PREFIX):
            self._picture.apply_server(item.key, item.value)
        if item.key.startswith(QUARANTINE_KEY_PREFIX):
            self._quarantine.apply(item.key, item.value, time.monotonic())
        is_cached = item.key == CONFIG_KEY or item.key.startswith(CACHED_PREFIXES)
        if item.value is None:
            self._documents.remove(item.key)
        elif is_cached or item.key == VIEW_KEY:
            self._documents.put(Document(item.key, item.revision, item.value))
        if item.key == VIEW_KEY and item.value is not None:
            self._adopt_view(item.revision, item.value)
        elif item.key == CONFIG_KEY and item.value is not None:
            self._apply_config(item.value)
        elif item.key.startswith(RETIRE_KEY_PREFIX):
            name = item.key.removeprefix(RETIRE_KEY_PREFIX)
            (self._retiring.discard if item.value is None else self._retiring.add)(name)
            self._core.retiring = frozenset(self._retiring)
            log.info("instances to be emptied", extra={"names": sorted(self._retiring)})

    def _apply_config(self, value: bytes) -> None:
        """Apply the customers' quotas; a value that does not decode changes nothing."""
        table = decode_config(value)
        if isinstance(table, InvalidDocument):
            log.error(
                "value in the store does not decode",
                extra={"key": table.key, "reason": table.reason},
            )
            return
        if table.version <= self._config_version:
            return
        self._config_version = table.version
        customers = table.customers.by_name if table.customers else {}
        refused_before = self._core.quota.programs_refused
        self._core.quota.configure(customers, time.monotonic())
        log.info(
            "quotas in force",
            extra={
                "config": table.version,
                "customers": len(customers),
                "programs_refused": self._core.quota.programs_refused - refused_before,
            },
        )

    def _adopt_view(self, revision: int, value: bytes) -> None:
        view = decode_view(value)
        if isinstance(view, InvalidDocument):
            log.error(
                "value in the store does not decode",
                extra={"key": view.key, "reason": view.reason},
            )
            return
        now = time.monotonic()
        if self._core.adopt(view, now, revision):
            log.info("view adopted", extra=_view_extra(view))
            self._core.tick(now)
            self._send()
            self._storage.wake()

    async def _maintain_view(self) -> None:
        core = self._core
        proposed: View | None = None
        proposed_since = 0.0
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            await self._report_retirements()
            now = time.monotonic()
            proposal = next_view(
                core.view, core.observation(now), self._cfg.max_failures
            )
            if proposal != proposed:
                proposed, proposed_since = proposal, now
            is_joining = core.me not in core.view.members
            is_due = is_joining or now - proposed_since >= core.proposal_delay_s(now)
            if proposal is not None and is_due:
                await self._propose(proposal)
            elif proposal is None and core.has_copied():
                synced = (*core.view.synced, core.me.disk)
                await self._propose(core.view._replace(synced=synced))

    async def _propose(self, view: View) -> None:
        """Write a view if the store still holds the one that it is based on.

        A lost response needs no handling: the watch reports what the store holds, and
        the next proposal is computed from that.
        """
        base = self._core.view_revision
        outcome = await self._store.swap(VIEW_KEY, base, msgspec.json.encode(view))
        if isinstance(outcome, Swapped):
            log.info("view proposed", extra=_view_extra(view))
            self._adopt_view(outcome.revision, msgspec.json.encode(view))
            return
        reason = outcome.reason if isinstance(outcome, StoreError) else "raced"
        log.info("view not written", extra={"reason": reason, "base": base})
        await anyio.sleep(PROPOSAL_RETRY_S)

    async def _report_retirements(self) -> None:
        """Report to the operators how far the retirement of an instance has come.

        Only one member does so: the first by name that is not retiring.
        """
        view = self._core.view
        staying = [m for m in view.members if m.name not in self._retiring]
        if not staying or staying[0] != self._core.me:
            return
        for name in sorted(self._retiring - self._reported_done):
            is_listed = any(m.name == name for m in (*view.members, *view.old))
            status = RETIRE_RUNNING if is_listed else RETIRE_DONE
            outcome = await self._store.put(RETIRE_STATUS_KEY_PREFIX + name, status)
            log.info(
                "instance reported as emptied" if not is_listed else "emptying",
                extra={"name_of_instance": name, "outcome": str(outcome)},
            )
            if not is_listed and isinstance(outcome, Swapped):
                self._reported_done.add(name)
            await anyio.sleep(PROPOSAL_RETRY_S)


def _view_extra(view: View) -> dict[str, object]:
    return {
        "view": view.number,
        "members": [m.name for m in view.members],
        "old": [m.name for m in view.old],
        "synced": len(view.synced),
    }
