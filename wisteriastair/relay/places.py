"""Places of one attempt: the servers that it may use, known before it is sent.

Load pattern: a request crashes each server that reads it, and its attempts reach
several relays. What one relay knows of the sends of another arrives after them, however
fast the messages usually are. So each server of a request has a place that needs no
knowledge of other attempts, or that was taken at several keepers before the send:

- the first attempt of a turn with a reservation has one server of its choice: the
  ledger has told that no other attempt of the turn may do the same;
- the next one is the server that all relays compute alike;
- the others are any servers, claimed for the request at a majority of keepers.
"""

from __future__ import annotations


class Places:
    """Servers that one attempt has used or may use.

    Attributes
    ----------
    is_reserved : bool
        Whether the ledger has been asked for the other attempts of the request.
    has_free_place : bool
        Whether it has told that this attempt may be sent to a server of its choice.
    used : set of int
        Keys of the servers that may have read it.
    claimed : set of int
        Keys of the servers that the request has claimed, as far as is known.
    next_claim : int
        Number of the next claim to ask keepers for.
    is_unanswered : bool
        Whether keepers have not granted a claim.
    was_sent : bool
        Whether any server may have read it.
    """

    def __init__(self) -> None:
        self.is_reserved = False
        self.has_free_place = False
        self.used: set[int] = set()
        self.claimed: set[int] = set()
        self.next_claim = 0
        self.is_unanswered = False
        self.was_sent = False
        # Whether the last send was the first one to its server.
        self._is_new = False

    @property
    def is_free(self) -> bool:
        """Whether the attempt may be sent to any server."""
        return self.has_free_place and not self.used

    def record_sent(self, server: int) -> None:
        """Record that a server is about to get the request."""
        self._is_new = server not in self.used
        self.used.add(server)
        self.was_sent = True

    def record_not_read(self, server: int) -> None:
        """Record that a server has not read the request that was sent last."""
        if self._is_new:
            self.used.discard(server)
            self.was_sent = bool(self.used)
