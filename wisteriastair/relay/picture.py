"""The relay's side of the shared picture of servers: reports, replies and failover.

A relay reports to one keeper, which replies with the merged picture.  If the keeper
does not answer, the relay turns to the next one.  The first keeper may still count the
last reports meanwhile, so the relay reports nothing to the next one until they have
expired.  Otherwise its requests would be counted twice.

Nothing is sent unless a server reports its pace or memory pressure is configured.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from functools import partial
from typing import Final

import anyio

from ..core.hashing import address_of
from ..core.ledgerwire import (
    LedgerMessage,
    PictureUpdate,
    RelayDigest,
    encode_ledger,
)
from ..core.links import MS_PER_S, Link
from ..core.membership import View
from ..core.watchers import digest_receivers
from ..peers.transport import Transport
from ..scheduling.capacity import StepChange, weight_of_step
from ..scheduling.digest import DigestSource, server_key
from ..scheduling.fleet import Fleet
from ..scheduling.picture import MAX_AGE_S, OwnReports, SharedPicture, SuspectChange
from .loglimit import LineLimit

# Interval of reports in seconds, if there is something to report.
REPORT_INTERVAL_S: Final = 0.25
# A relay with nothing to report asks for the picture this often, in seconds.
RENEWAL_INTERVAL_S: Final = 1.0
# Seconds without an answer after which the next keeper is asked: four reports.  Each
# change of keepers hides the requests of this relay from the others for up to 1.5 s.
ANSWER_TIMEOUT_S: Final = 1.0
# Seconds between two attempts to return to the preferred keeper.
RETURN_INTERVAL_S: Final = 5.0

log = logging.getLogger(__name__)


class _Receiver:
    """A keeper to which this relay reports."""

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        # Member id, once it has answered.
        self.member = ""
        self.link = Link()
        self.chosen_at = now
        self.sent_at = -math.inf
        # Time of the first report that has not been answered; None if there is none.
        self.unanswered_since: float | None = None

    @property
    def target(self) -> str:
        """Where to send: the incarnation that has answered, or any."""
        return self.member or self.address


class PictureClient:
    """Reports to a keeper and applies its replies.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    domain : str
        Failure domain of this process.
    max_failures : int
        Number of keepers that may fail at once.
    view : callable
        Returns the keepers.
    has_memory_pressure : bool
        Whether the deployment requires reports even if no server reports its pace.

    Attributes
    ----------
    picture : SharedPicture
        What this relay knows of servers from other relays.
    ignored : int
        Replies that were late, duplicated or invalid.
    bytes_sent : int
        Bytes of reports since the start.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: str,
        max_failures: int,
        view: Callable[[], View],
        *,
        has_memory_pressure: bool = False,
    ) -> None:
        self.picture = SharedPicture(fleet)
        self.ignored = 0
        self.bytes_sent = 0
        self._fleet = fleet
        self._domain = domain
        self._max_failures = max_failures
        self._view = view
        self._is_enabled = has_memory_pressure
        self._source = DigestSource()
        self._own = OwnReports()
        self._receiver: _Receiver | None = None
        self._preferred: _Receiver | None = None
        self._reported_at = -math.inf
        self._silent_until = -math.inf
        self._lines = LineLimit()

    async def run(self, transport: Transport[LedgerMessage]) -> None:
        """Report until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for target, digest in self.tick(now):
                self.bytes_sent += len(encode_ledger(digest))
                transport.send(target, digest)
            await anyio.sleep(REPORT_INTERVAL_S)

    def age_s(self, now: float) -> float:
        """Return the age of the picture in seconds; -1 without one."""
        age_s = self.picture.age_s(now)
        return age_s if math.isfinite(age_s) else -1.0

    # Sending

    def tick(self, now: float) -> list[tuple[str, RelayDigest]]:
        """Return the reports to send now, and judge the servers again."""
        if not self._check_enabled():
            return []
        self._log_suspects(self.picture.refresh(now), now)
        receiver = self._choose_receiver(now)
        if receiver is None:
            return []
        digests = self._report(receiver, now)
        if self._preferred is not None and self._preferred is not receiver:
            digests += self._probe(self._preferred, now)
        return digests

    def _check_enabled(self) -> bool:
        """Return whether to report; once a server reports its pace, this stays so."""
        if not self._is_enabled:
            self._is_enabled = any(s.reports_pace for s in self._fleet.states())
        return self._is_enabled

    def _choose_receiver(self, now: float) -> _Receiver | None:
        addresses = digest_receivers(self._view(), self._domain, self._max_failures)
        if not addresses:
            return None
        current = self._receiver
        if current is None or current.address not in addresses:
            return self._switch(_Receiver(addresses[0], now), now)
        waiting_since = current.unanswered_since
        if waiting_since is not None and now - waiting_since >= ANSWER_TIMEOUT_S:
            following = (addresses.index(current.address) + 1) % len(addresses)
            return self._switch(_Receiver(addresses[following], now), now)
        if current.address == addresses[0]:
            self._preferred = None
        elif self._preferred is None or (
            now - self._preferred.chosen_at >= RETURN_INTERVAL_S
        ):
            self._preferred = _Receiver(addresses[0], now)
        return current

    def _switch(self, receiver: _Receiver, now: float) -> _Receiver:
        """Report to another keeper once the last one has forgotten this relay."""
        if self._receiver is not None and self._lines.allows(now):
            log.info(
                "reporting servers to another keeper",
                extra={"keeper": receiver.address, "before": self._receiver.address},
            )
        self._receiver = receiver
        self._preferred = None
        self._silent_until = self._reported_at + MAX_AGE_S
        self._source.forget()
        self._own.start_link(now)
        return receiver

    def _report(self, receiver: _Receiver, now: float) -> list[tuple[str, RelayDigest]]:
        observations = []
        # The age of a report is known only after the keeper has answered once.
        if receiver.member and now >= self._silent_until:
            active = self._fleet.active_states(now)
            observations = self._source.next_observations(active, now)
        is_waiting = not receiver.member or receiver.unanswered_since is not None
        is_due = is_waiting or now - receiver.sent_at >= RENEWAL_INTERVAL_S
        if not observations and not is_due:
            return []
        digest = RelayDigest(
            receiver.link.next_timing(now), observations, self.picture.weights_id
        )
        if observations:
            self._reported_at = now
            self._own.record(digest.timing.stamp, observations, now)
        return [self._address(receiver, digest, now)]

    def _probe(self, receiver: _Receiver, now: float) -> list[tuple[str, RelayDigest]]:
        """Ask the preferred keeper once whether it is back."""
        if receiver.unanswered_since is not None:
            return []
        digest = RelayDigest(receiver.link.next_timing(now))
        return [self._address(receiver, digest, now)]

    def _address(
        self, receiver: _Receiver, digest: RelayDigest, now: float
    ) -> tuple[str, RelayDigest]:
        receiver.sent_at = now
        if receiver.unanswered_since is None:
            receiver.unanswered_since = now
        return receiver.target, digest

    # Receiving

    def receive(self, sender: str, update: PictureUpdate, now: float) -> None:
        """Apply a reply."""
        address = address_of(sender)
        preferred = self._preferred
        if preferred is not None and preferred.address == address:
            self._switch(preferred, now)
        receiver = self._receiver
        if receiver is None or receiver.address != address:
            self.ignored += 1
            return
        if receiver.member not in ("", sender):
            # The keeper has restarted and knows nothing of this link.
            self._switch(_Receiver(address, now), now)
            return
        arrival = receiver.link.receive(update.timing, now)
        if not arrival.is_new:
            self.ignored += 1
            return
        receiver.member = sender
        receiver.unanswered_since = None
        if not arrival.is_valid or arrival.transit_s >= MAX_AGE_S:
            self.ignored += 1
            return
        self._apply(update, now - arrival.transit_s, now)

    def _apply(self, update: PictureUpdate, sent_at: float, now: float) -> None:
        parts = zip(update.ages_ms, update.included, update.blocks, strict=False)
        for age_ms, included, block in parts:
            if age_ms < 0:
                self.ignored += 1
                continue
            made_at = sent_at - age_ms / MS_PER_S
            own = partial(self._own.find, stamp=included, now=now)
            self.picture.apply_block(block, made_at, own, now)
        changes = self.picture.apply_weights(update.weights)
        if changes:
            self._log_steps(changes, now)

    def _log_steps(self, changes: list[StepChange], now: float) -> None:
        names = {server_key(s.incarnation): s.server.id for s in self._fleet.states()}
        for change in changes:
            if not self._lines.allows(now):
                return
            log.info(
                "weight of a server changed",
                extra={
                    "server": names.get(change.server, str(change.server)),
                    "weight": round(weight_of_step(change.new), 2),
                    "before": round(weight_of_step(change.old), 2),
                    "changes": len(changes),
                },
            )

    def _log_suspects(self, changes: list[SuspectChange], now: float) -> None:
        for change in changes:
            if not self._lines.allows(now):
                return
            text = "server suspect" if change.is_suspect else "server no longer suspect"
            log.info(
                text,
                extra={
                    "server": change.incarnation,
                    "witnesses": change.witnesses,
                    "changes": len(changes),
                },
            )
