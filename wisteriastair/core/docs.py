"""Spreading the platform's documents to every process.

The key-value service counts every call and every waiting watch, and its rates grow
more slowly than the fleet.  So only a few processes, chosen by rendezvous hash in
each failure domain, watch it.  A watcher passes a new revision on to a few peers,
they to others; heartbeats and a periodic question to a random peer carry the
revisions held and repair what was lost.

Each document has the revision that the key-value service gave it.  A process keeps
the highest revision it has seen and refuses lower ones, whoever sends them: a stale
peer, a delayed message or a platform restored from an old copy cannot make a
configuration revert.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .events import Effect, Instance, KvWatch, Send
from .hashing import hash64, rendezvous_order
from .wire import DocPull, DocPush

FANOUT: Final = 3
PULL_EVERY_S: Final = 5.0
PULL_EMPTY_S: Final = 1.0
WATCHERS_PER_DOMAIN: Final = 1


class Doc(NamedTuple):
    """A document as this process holds it."""

    revision: int
    value: bytes


class Docs:
    """The documents one process holds, and who is told of new ones.

    Parameters
    ----------
    me : str
        Address of this process.
    """

    def __init__(self, me: str) -> None:
        self.held: dict[str, Doc] = {}
        self.refused = 0
        self._me = me
        self._instances: tuple[Instance, ...] = ()
        self._watching = False
        self._next_pull = 0.0
        self._rounds = 0

    def revisions(self) -> dict[str, int]:
        """Revision held of each document."""
        return {key: doc.revision for key, doc in self.held.items()}

    def set_instances(self, instances: tuple[Instance, ...]) -> list[Effect]:
        """Take the instance list; start or stop watching as it says."""
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

    def offer(self, key: str, revision: int, value: bytes) -> bool:
        """Take a document if it is newer than the one held."""
        held = self.held.get(key)
        if held is not None and revision <= held.revision:
            if revision < held.revision:
                self.refused += 1
            return False
        if revision <= 0:
            return False
        self.held[key] = Doc(revision, value)
        return True

    def spread(self, key: str) -> list[Effect]:
        """Pass a document that has just become newer on to a few peers."""
        doc = self.held[key]
        message = DocPush(key, doc.revision, doc.value)
        return [Send(peer, message) for peer in self._some_peers(key, FANOUT)]

    def on_pull(self, sender: str, pull: DocPull) -> list[Effect]:
        """Answer with the documents that the asker lacks."""
        effects: list[Effect] = []
        for key, doc in self.held.items():
            if pull.revisions.get(key, 0) < doc.revision:
                effects.append(Send(sender, DocPush(key, doc.revision, doc.value)))
        return effects

    def compare(self, sender: str, revisions: dict[str, int]) -> list[Effect]:
        """Pull from a peer whose heartbeat shows something newer."""
        for key, revision in revisions.items():
            held = self.held.get(key)
            if held is None or held.revision < revision:
                return [Send(sender, DocPull(self.revisions()))]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Ask a random peer now and then; this also serves a fresh process."""
        if now < self._next_pull:
            return []
        # A process that has just started knows nothing and asks more often.
        self._next_pull = now + (PULL_EVERY_S if self.held else PULL_EMPTY_S)
        pull = DocPull(self.revisions())
        return [Send(peer, pull) for peer in self._some_peers("pull", 1)]

    def _some_peers(self, purpose: str, count: int) -> list[str]:
        self._rounds += 1
        others = [i.address for i in self._instances if i.address != self._me]
        if len(others) <= count:
            return others
        start = hash64(self._me, purpose, str(self._rounds))
        step = max(1, len(others) // count)
        return [others[(start + n * step) % len(others)] for n in range(count)]
