"""Servers that requests have claimed outside of the servers that all relays know alike.

Each keeper gives a request one server: the first one that any relay asked for. A server
that a majority of the keepers names for a request is therefore the only one, whichever
relays ask, at whatever time, and however late the replies are.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import Final, NamedTuple

# Seconds after the last question for which a claim is remembered: longer than the
# attempts of a request go on.
CLAIM_S: Final = 60.0
# Claims that are remembered; some 150 bytes each.
MAX_CLAIMS: Final = 32_768
# Bytes of the key of a claim.
CLAIM_KEY_BYTES: Final = 8
# Stands for no server.
NO_CLAIM: Final = 0


class SavedClaim(NamedTuple):
    """A claim on the disk of a keeper."""

    key: bytes
    server: int


class ClaimTable:
    """Claims that one keeper has granted.

    Parameters
    ----------
    opens_at : float
        Time from which claims are granted. A process that may have forgotten claims
        grants none until they would have expired.

    Attributes
    ----------
    has_unsaved : bool
        Whether claims have been granted since `saved` returned them.
    """

    def __init__(self, opens_at: float = -math.inf) -> None:
        self.has_unsaved = False
        self._opens_at = opens_at
        # Server and time of expiry by request, the least recently used one first.
        self._claims: dict[bytes, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, key: bytes, server: int, now: float) -> int:
        """Return the server that a request has claimed; `NO_CLAIM` if it may have none.

        Parameters
        ----------
        server : int
            Key of the server that it gets if it has claimed none.
        """
        self._expire(now)
        known = self._claims.pop(key, None)
        if known is not None:
            server = known[0]
        elif now < self._opens_at or len(self._claims) >= MAX_CLAIMS:
            return NO_CLAIM
        else:
            self.has_unsaved = True
        self._claims[key] = server, now + CLAIM_S
        return server

    def saved(self) -> list[SavedClaim]:
        """Return all claims, to be saved."""
        self.has_unsaved = False
        return [SavedClaim(key, server) for key, (server, _) in self._claims.items()]

    def restore(self, claims: list[SavedClaim], now: float) -> None:
        """Add the claims that were saved before a restart.

        The process may have been down for any time, so they begin anew.
        """
        for claim in claims[-MAX_CLAIMS:]:
            self._claims[claim.key] = claim.server, now + CLAIM_S

    def _expire(self, now: float) -> None:
        while self._claims:
            key, (_, expires_at) = next(iter(self._claims.items()))
            if expires_at > now:
                return
            del self._claims[key]


def claim_key(request_digest: bytes, number: int) -> bytes:
    """Return the key of a claim of a request, counted from 0."""
    return blake2b(
        request_digest, digest_size=CLAIM_KEY_BYTES, person=b"%d" % number
    ).digest()


def majority_claim(replies: list[int], keepers: int) -> int:
    """Return the server that a majority of keepers names; `NO_CLAIM` if none does."""
    for server in set(replies) - {NO_CLAIM}:
        if 2 * replies.count(server) > keepers:
            return server
    return NO_CLAIM
