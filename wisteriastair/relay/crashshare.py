"""Tells keepers of crashes under requests, and applies what other relays found.

A caller's next attempt mostly reaches another relay, some milliseconds after the answer
to the last one.  A relay therefore reports a crash to some keepers before it answers,
and a keeper tells all relays once a request is close to quarantine.  Reports are
repeated until each of these keepers has replied.  Without keepers a relay goes on with
what it knows itself.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final, Protocol

import anyio
import msgspec

from ..core.crashwire import (
    CrashReport,
    CrashUpdate,
    ExposedServer,
    ServerClaim,
    SettledServers,
)
from ..core.hashing import address_of
from ..core.ledgerwire import LedgerMessage
from ..scheduling.claims import NO_CLAIM, ClaimTable, majority_claim
from ..scheduling.crashes import (
    KEY_BYTES,
    MAX_ENTRIES,
    MS_PER_S,
    CrashTable,
    add_entry,
    make_entry,
    settle_entry,
)

# Seconds after which a report without a reply is sent again, and how often.  A keeper
# that is silent for longer has left the view, or learns all at its return.
RESEND_INTERVAL_S: Final = 0.2
MAX_SENDS: Final = 20
# Interval in seconds of the reports that renew the subscription to updates.
RENEWAL_INTERVAL_S: Final = 1.0
# Seconds without a message of any keeper after which none is believed to hear this
# relay: two renewals lost.
SILENCE_S: Final = 2.5
# Longest wait for the keepers that grant a claim, in seconds; several round trips.
MAX_CLAIM_WAIT_S: Final = 0.1
# Entries in one report.
MAX_REPORTED: Final = 256


log = logging.getLogger(__name__)


class MessageSender(Protocol):
    """Sends messages to other processes."""

    def send(self, to: str, message: LedgerMessage) -> None:
        """Send a message, without waiting."""


class _OpenReport:
    """A report that some keeper has not replied to."""

    def __init__(self, report: CrashReport, keepers: set[str], now: float) -> None:
        self.report = report
        self.waiting_for = keepers
        self.sent_at = now
        self.sends = 1
        # Set by the first reply.
        self.replied = anyio.Event()


class _OpenClaim:
    """A claim of a request, and what keepers have replied.

    Attributes
    ----------
    granted : dict
        By keeper: the server that it names for the request.
    """

    def __init__(self, keepers: list[str]) -> None:
        self.keepers = keepers
        self.granted: dict[str, int] = {}
        self.updated = anyio.Event()

    def server(self) -> int:
        """Return the server that the request has claimed; `NO_CLAIM` for none."""
        return majority_claim(list(self.granted.values()), len(self.keepers))

    def is_decided(self) -> bool:
        """Whether further replies change nothing."""
        return self.server() != NO_CLAIM or len(self.granted) == len(self.keepers)

    def record(self, keeper: str, claims: list[ServerClaim]) -> None:
        """Record the reply of a keeper."""
        if keeper in self.keepers and claims:
            self.granted[keeper] = claims[0].server
            if self.is_decided():
                self.updated.set()


class CrashShare:
    """Reports crashes to keepers and applies their updates.

    Parameters
    ----------
    table : CrashTable
        What this relay knows.
    keepers : callable
        Returns the addresses of the keepers that sum crashes.
    """

    def __init__(self, table: CrashTable, keepers: Callable[[], list[str]]) -> None:
        self.table = table
        # Called with each request of which other relays have found more.
        self.on_suspect: Callable[[bytes, float], None] = lambda key, now: None
        self._keepers = keepers
        self._op = 0
        self._open: dict[int, _OpenReport] = {}
        self._open_claims: dict[int, _OpenClaim] = {}
        # Claims of a relay without keepers.
        self._own_claims = ClaimTable()
        # Member id and last revision of each keeper that was heard, by address.
        self._members: dict[str, str] = {}
        self._revisions: dict[str, int] = {}
        self._renewed_at = -math.inf
        self._heard_at = -math.inf
        self._was_isolated = True
        self._subscribed_to: list[str] = []
        self._new: list[bytes] = []
        self._next_report: _OpenReport | None = None
        self._sender: MessageSender | None = None

    def start(self, sender: MessageSender) -> None:
        """Set the transport."""
        self._sender = sender

    async def claim(self, key: bytes, server: int) -> int:
        """Claim a server for a request at a majority of the keepers.

        A relay without a transport has no peers, and grants its claims itself.

        Returns
        -------
        int
            Key of the server that the request has claimed, which may be another one;
            `NO_CLAIM` if it has none, or if too few keepers reply in time.
        """
        now = asyncio.get_running_loop().time()
        if self._sender is None:
            return self._own_claims.claim(key, server, now)
        keepers = self._keepers()
        if not keepers:
            return NO_CLAIM
        self._op += 1
        opened = self._open_claims[self._op] = _OpenClaim(keepers)
        op = self._op
        try:
            for address in keepers:
                report = CrashReport(op, claims=[ServerClaim(key, server)])
                self._sender.send(address, report)
            with anyio.move_on_after(MAX_CLAIM_WAIT_S):
                await opened.updated.wait()
        finally:
            del self._open_claims[op]
        return opened.server()

    # Reports

    def report_crash(self, key: bytes) -> anyio.Event:
        """Report a request to all keepers; the event is set by the first reply.

        All reports of one iteration of the event loop are one message: a server takes
        all its requests with it.
        """
        self._new.append(key)
        loop = asyncio.get_running_loop()
        if self._next_report is None:
            self._next_report = _OpenReport(CrashReport(0), set(), loop.time())
            loop.call_soon(self._send_new)
        return self._next_report.replied

    def _send_new(self) -> None:
        opened = self._next_report
        assert opened is not None, "scheduled together with the report"
        self._next_report = None
        keys, self._new = self._new, []
        now = asyncio.get_running_loop().time()
        self._send_report(opened, self._make_report(keys, now), now)

    def report_answer(self, key: bytes, variant: bytes = b"") -> None:
        """Tell all keepers that a server has answered a remembered request.

        Parameters
        ----------
        variant : bytes
            Digest of its headers.
        """
        now = asyncio.get_running_loop().time()
        opened = _OpenReport(CrashReport(0), set(), now)
        self._send_report(opened, CrashReport(0, answered=[key + variant]), now)

    def report_settled(self, settled: dict[bytes, dict[int, float]]) -> None:
        """Tell all keepers of servers that have survived requests.

        Parameters
        ----------
        settled : dict
            For each request its servers, and when they would have expired.
        """
        now = asyncio.get_running_loop().time()
        entries = []
        for key, servers in settled.items():
            ages = [
                ExposedServer(server, int((expires_at - now) * MS_PER_S))
                for server, expires_at in servers.items()
            ]
            entries.append(SettledServers(key, ages))
        for start in range(0, len(entries), MAX_REPORTED):
            opened = _OpenReport(CrashReport(0), set(), now)
            part = entries[start : start + MAX_REPORTED]
            self._send_report(opened, CrashReport(0, settled=part), now)

    def _make_report(self, keys: list[bytes], now: float) -> CrashReport:
        known = [key for key in keys if key in self.table]
        return CrashReport(0, [make_entry(self.table, key, now) for key in known])

    def _send_report(
        self, opened: _OpenReport, report: CrashReport, now: float
    ) -> None:
        keepers = self._keepers()
        if self._sender is None or not keepers:
            opened.replied.set()
            return
        self._op += 1
        opened.report = msgspec.structs.replace(report, op=self._op)
        opened.waiting_for = set(keepers)
        opened.sent_at = now
        self._open[self._op] = opened
        for address in keepers:
            self._sender.send(address, opened.report)

    def sweep(self, now: float) -> None:
        """Send reports again that keepers have not replied to; renew subscriptions."""
        keepers = self._keepers()
        is_due = now - self._renewed_at >= RENEWAL_INTERVAL_S
        if is_due or keepers != self._subscribed_to:
            self._renewed_at = now
            self._subscribed_to = keepers
            # With a number, so that keepers reply.
            self._op += 1
            for address in keepers:
                self._send(address, CrashReport(self._op))
        is_isolated = self._sender is not None and now - self._heard_at > SILENCE_S
        if is_isolated and not self._was_isolated:
            silent_ms = round((now - self._heard_at) * 1000)
            log.warning("no keeper sums crashes", extra={"silent_ms": silent_ms})
        self._was_isolated = is_isolated
        for op, opened in list(self._open.items()):
            opened.waiting_for &= set(keepers)
            if not opened.waiting_for or opened.sends >= MAX_SENDS:
                del self._open[op]
                opened.replied.set()
            elif now - opened.sent_at >= RESEND_INTERVAL_S:
                opened.sent_at = now
                opened.sends += 1
                for address in opened.waiting_for:
                    self._send(address, opened.report)

    # Keepers

    def _record_keeper(self, sender: str, address: str, now: float) -> None:
        """Tell a keeper that is new or has restarted all that is known."""
        if self._members.get(address) == sender:
            return
        self._members[address] = sender
        self._revisions.pop(address, None)
        keys = self.table.keys()
        for start in range(0, len(keys), MAX_REPORTED):
            part = keys[start : start + MAX_REPORTED]
            self._send(sender, self._make_report(part, now))

    def receive(self, sender: str, update: CrashUpdate, now: float) -> None:
        """Apply an update."""
        address = address_of(sender)
        self._heard_at = now
        self._record_keeper(sender, address, now)
        for entry in update.crashes[:MAX_ENTRIES]:
            if add_entry(self.table, entry, now):
                self.on_suspect(entry.key, now)
        for settled in update.settled[:MAX_ENTRIES]:
            settle_entry(self.table, settled, now)
        for forgotten in update.forgotten[:MAX_ENTRIES]:
            self.table.forget(forgotten[:KEY_BYTES], forgotten[KEY_BYTES:])
        claim = self._open_claims.get(update.op)
        if claim is not None:
            claim.record(address, update.claims)
        opened = self._open.get(update.op)
        if opened is not None:
            opened.waiting_for.discard(address)
            opened.replied.set()
            if not opened.waiting_for:
                del self._open[update.op]
        self._check_revision(sender, address, update)

    def _check_revision(self, sender: str, address: str, update: CrashUpdate) -> None:
        """Ask for the whole table if an update was missed."""
        if update.op:
            # A reply has only what was asked for.
            return
        known = self._revisions.get(address, 0)
        if update.base not in (0, known) and known < update.revision:
            self._send(sender, CrashReport(0, wants_all=True))
            return
        self._revisions[address] = max(known, update.revision)

    def _send(self, to: str, report: CrashReport) -> None:
        if self._sender is not None:
            self._sender.send(to, report)
