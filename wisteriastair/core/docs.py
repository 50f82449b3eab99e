"""Gossip of the documents of the key-value service to every process.

The key-value service limits calls and open watches, and its limits grow more slowly
than the number of processes.  So only a few processes, chosen by rendezvous hash in
each failure domain, watch it.  A watcher pushes a new revision to a few peers, which
push it to others.  Heartbeats and a periodic pull from a random peer contain the
stored revisions and repair lost messages.

Each document has its revision in the key-value service.  A process stores the
highest revision it has received and refuses lower ones from every sender: a stale
peer, a delayed message or a key-value service restored from a backup cannot make the
configuration revert.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .events import Effect, Instance, KvWatch, Send
from .hashing import hash64, rendezvous_order
from .wire import DocPull, DocPush

FANOUT: Final = 3
PULL_INTERVAL_S: Final = 5.0
EMPTY_PULL_INTERVAL_S: Final = 1.0
WATCHERS_PER_DOMAIN: Final = 1


class Document(NamedTuple):
    """A document as stored in this process."""

    revision: int
    value: bytes


class Docs:
    """The documents stored in this process and their exchange with peers.

    Parameters
    ----------
    me : str
        Address of this process.
    """

    def __init__(self, me: str) -> None:
        self.stored: dict[str, Document] = {}
        self.refused = 0
        self._me = me
        self._instances: tuple[Instance, ...] = ()
        self._watching = False
        self._next_pull = 0.0
        self._rounds = 0

    def revisions(self) -> dict[str, int]:
        """Return the stored revision of each document."""
        return {key: doc.revision for key, doc in self.stored.items()}

    def set_instances(self, instances: tuple[Instance, ...]) -> list[Effect]:
        """Store the instance list; start or stop watching the key-value service."""
        self._instances = instances
        watching = self._is_watcher()
        if watching == self._watching:
            return []
        self._watching = watching
        return [KvWatch(watching)]

    def _is_watcher(self) -> bool:
        domains = {i.domain for i in self._instances if i.address == self._me}
        for domain in domains:
            peers = [
                i.address
                for i in self._instances
                if i.domain == domain and i.role == "side" and not i.leaving
            ]
            if self._me in rendezvous_order("watch", peers)[:WATCHERS_PER_DOMAIN]:
                return True
        return False

    def store_if_newer(self, key: str, revision: int, value: bytes) -> bool:
        """Store a document if it is newer than the stored one."""
        stored = self.stored.get(key)
        if stored is not None and revision <= stored.revision:
            if revision < stored.revision:
                self.refused += 1
            return False
        if revision <= 0:
            return False
        self.stored[key] = Document(revision, value)
        return True

    def push(self, key: str) -> list[Effect]:
        """Push a newly stored document to a few peers."""
        doc = self.stored[key]
        message = DocPush(key, doc.revision, doc.value)
        return [Send(peer, message) for peer in self._pick_peers(key, FANOUT)]

    def on_pull(self, sender: str, pull: DocPull) -> list[Effect]:
        """Push the documents of which the sender has no or an older revision."""
        effects: list[Effect] = []
        for key, doc in self.stored.items():
            if pull.revisions.get(key, 0) < doc.revision:
                effects.append(Send(sender, DocPush(key, doc.revision, doc.value)))
        return effects

    def pull_if_older(self, sender: str, revisions: dict[str, int]) -> list[Effect]:
        """Pull from a peer that has a newer revision of any document."""
        for key, revision in revisions.items():
            stored = self.stored.get(key)
            if stored is None or stored.revision < revision:
                return [Send(sender, DocPull(self.revisions()))]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Pull from a random peer periodically; this also fills a new process."""
        if now < self._next_pull:
            return []
        # A process that has just started has no documents and pulls more often.
        self._next_pull = now + (
            PULL_INTERVAL_S if self.stored else EMPTY_PULL_INTERVAL_S
        )
        pull = DocPull(self.revisions())
        return [Send(peer, pull) for peer in self._pick_peers("pull", 1)]

    def _pick_peers(self, purpose: str, count: int) -> list[str]:
        self._rounds += 1
        others = [i.address for i in self._instances if i.address != self._me]
        if len(others) <= count:
            return others
        start = hash64(self._me, purpose, str(self._rounds))
        step = max(1, len(others) // count)
        return [others[(start + n * step) % len(others)] for n in range(count)]
