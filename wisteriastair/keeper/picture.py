"""The keeper's side of the shared picture of servers.

A keeper only answers: without reports of relays it sends nothing and computes nothing.
"""

from __future__ import annotations

import logging
from typing import Final

from ..core.ledgerwire import DomainSums, LedgerMessage, RelayDigest, encode_ledger
from ..core.membership import View
from ..core.watchers import digest_keepers
from ..platform.documents import SERVER_KEY_PREFIX, InvalidDocument, decode_server
from ..scheduling.capacity import weight_of_step
from ..scheduling.digest import server_key
from ..scheduling.fleet import Server
from ..scheduling.merge import make_merger

# Log lines about weights per call.  A decision may change many servers at once.
MAX_LOGGED: Final = 8

log = logging.getLogger(__name__)


class PictureKeeper:
    """Merges reports of relays and replies to them.

    Parameters
    ----------
    me : str
        Address of this keeper.
    max_failures : int
        Number of keepers that may fail at once.
    now : float
        Time in seconds.

    Attributes
    ----------
    bytes_sent : int
        Bytes of replies and sums since the start.
    """

    def __init__(self, me: str, max_failures: int, now: float) -> None:
        self.bytes_sent = 0
        self.merger = make_merger(me, now)
        self._max_failures = max_failures
        self._servers: dict[str, Server] = {}
        self._names: dict[int, str] = {}
        self._view = View()
        self._is_outdated = False

    def set_view(self, view: View) -> None:
        """Set the keepers with which sums are exchanged."""
        if view.members == self._view.members:
            return
        self._view = view
        chosen = digest_keepers(view, self._max_failures)
        self.merger.set_order([member.address for member in chosen])

    def apply_server(self, key: str, value: bytes | None) -> None:
        """Apply an entry of a server in the store; None if it was removed.

        A value that does not decode removes the server.
        """
        server_id = key.removeprefix(SERVER_KEY_PREFIX)
        server = None if value is None else decode_server(key, value)
        if server is None or isinstance(server, InvalidDocument):
            self._servers.pop(server_id, None)
        else:
            self._servers[server_id] = server
        self._is_outdated = True

    def retain_only(self, keys: set[str]) -> None:
        """Remove the servers that a full listing of the store does not contain."""
        ids = {key.removeprefix(SERVER_KEY_PREFIX) for key in keys}
        self._servers = {i: s for i, s in self._servers.items() if i in ids}
        self._is_outdated = True

    def receive(
        self, sender: str, message: RelayDigest | DomainSums, now: float
    ) -> list[tuple[str, LedgerMessage]]:
        """Handle a message; return the replies and the sums to send."""
        self._update_services()
        if isinstance(message, DomainSums):
            self.merger.on_sums(sender, message, now)
            return []
        messages = self.merger.on_digest(sender, message, now)
        # Blocks are encoded already, so this costs little.
        self.bytes_sent += sum(len(encode_ledger(reply)) for _, reply in messages)
        self._log_steps()
        return list(messages)

    def _update_services(self) -> None:
        if not self._is_outdated:
            return
        self._is_outdated = False
        servers = self._servers.values()
        self._names = {server_key(s.incarnation): s.id for s in servers}
        self.merger.set_services(
            {server_key(s.incarnation): s.service for s in servers}
        )

    def _log_steps(self) -> None:
        changes = self.merger.take_step_changes()
        for change in changes[:MAX_LOGGED]:
            log.info(
                "weight of a server decided",
                extra={
                    "server": self._names.get(change.server, str(change.server)),
                    "weight": round(weight_of_step(change.new), 2),
                    "before": round(weight_of_step(change.old), 2),
                    "changes": len(changes),
                },
            )
