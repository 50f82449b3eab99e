"""Servers that got a request and are not yet known to have survived it.

Load pattern: a request crashes each server that reads it, and the crash shows later
than the next attempt is sent: the server answers with an error first, resets the
connection and listens for some time more, or falls silent with its machine. A count of
known crashes is then always behind, and each attempt crashes another server.

Therefore a request has a bounded set of servers that have crashed or may yet turn out
to have. While the set is full, further attempts go to its members only, which costs no
other server. That a server lives on, however long, proves nothing of its end: a server
leaves the set when it did not run the request, when the request is answered, or when it
leaves by plan after it was seen alive.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import Final

# Seconds after its last end at a server for which a request takes a place there: longer
# than the retries of a caller and of a program together.
EXPOSURE_S: Final = 30.0
# Requests that are remembered; some 300 bytes each.
MAX_EXPOSED_REQUESTS: Final = 4096
# Seconds by which the same end of a request may seem later in a message.
MAX_SKEW_S: Final = 0.5
# Seconds by which a place may seem to be taken later if a message brings it back.
MAX_ECHO_S: Final = 0.1


class Suspicion(IntEnum):
    """What the end of a server that takes a place says of the request; in messages.

    OPEN : it has crashed under the request.
    EXCUSED : it may have ended for another reason.
    SURVIVED : it has lived on since, so it ended for another reason.
    """

    OPEN = 0
    EXCUSED = 1
    SURVIVED = 2


class Place:
    """A server that takes a place of a request.

    Attributes
    ----------
    has_left : bool
        Whether it has said that it is leaving, for another reason than the request.
    """

    def __init__(self, expires_at: float, suspicion: Suspicion) -> None:
        self.expires_at = expires_at
        self.suspicion = suspicion
        self.has_left = False

    def merge(self, expires_at: float, suspicion: Suspicion) -> bool:
        """Apply what is known of the server; return whether the suspicion changed.

        A later expiry means that the server got the request again.
        """
        before = self.suspicion
        if expires_at > self.expires_at + MAX_SKEW_S:
            self.suspicion = suspicion
        elif expires_at >= self.expires_at - MAX_SKEW_S:
            self.suspicion = max(before, suspicion)
        if expires_at > self.expires_at + MAX_ECHO_S:
            self.has_left = False
        self.expires_at = max(self.expires_at, expires_at)
        return self.suspicion is not before


class Exposures:
    """Servers of each request that may turn out to have crashed under it.

    Parameters
    ----------
    max_servers : int
        Servers that are remembered for one request.
    """

    def __init__(self, max_servers: int) -> None:
        self._max_servers = max_servers
        # Servers of each request; requests in the order of their first one.
        self._requests: dict[bytes, dict[int, Place]] = {}
        # No server expires earlier.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: object) -> bool:
        return key in self._requests

    def keys(self) -> list[bytes]:
        """Return the remembered requests."""
        return list(self._requests)

    def places(self, key: bytes) -> dict[int, Place]:
        """Return the servers that take a place of a request."""
        return self._requests.get(key, {})

    def servers(self, key: bytes) -> dict[int, float]:
        """Return the servers of a request, and when each of them expires."""
        places = self.places(key)
        return {server: place.expires_at for server, place in places.items()}

    def requests_of(self, server: int) -> list[bytes]:
        """Return the requests that a server may have crashed under."""
        return [key for key, places in self._requests.items() if server in places]

    def add(
        self,
        key: bytes,
        server: int,
        expires_at: float,
        suspicion: Suspicion = Suspicion.OPEN,
    ) -> bool:
        """Add a server of a request; return whether that says anything new."""
        places = self._requests.setdefault(key, {})
        place = places.get(server)
        if place is not None:
            return place.merge(expires_at, suspicion)
        if len(places) >= self._max_servers:
            return False
        places[server] = Place(expires_at, suspicion)
        self._next_expiry = min(self._next_expiry, expires_at)
        return True

    def record_survival(self, key: bytes, server: int) -> bool:
        """Record that a server lives on after a request; return whether it is new."""
        place = self.places(key).get(server)
        if place is None or place.suspicion is Suspicion.SURVIVED:
            return False
        place.suspicion = Suspicion.SURVIVED
        return True

    def record_leaving(self, key: bytes, server: int) -> None:
        """Record that a server leaves, for another reason than a request."""
        place = self.places(key).get(server)
        if place is not None:
            place.has_left = True

    def survived_by(self, server: int) -> list[bytes]:
        """Return the requests after which a server is known to have lived on."""
        return [
            key
            for key in self.requests_of(server)
            if self.places(key)[server].suspicion is Suspicion.SURVIVED
        ]

    def have_left(self, key: bytes) -> list[int]:
        """Return the servers of a request that have left by plan."""
        return [server for server, p in self.places(key).items() if p.has_left]

    def oldest_if_full(self) -> bytes | None:
        """Return the request to forget before another one; None if there is room."""
        if len(self._requests) < MAX_EXPOSED_REQUESTS:
            return None
        return next(iter(self._requests))

    def settle(self, key: bytes, server: int, until: float = math.inf) -> bool:
        """Remove a server of a request; return whether it was there.

        Parameters
        ----------
        until : float
            A server that expires later got the request again, and stays.
        """
        places = self.places(key)
        if server not in places or places[server].expires_at > until:
            return False
        del places[server]
        if not places:
            del self._requests[key]
        return True

    def forget(self, key: bytes) -> bool:
        """Forget a request; return whether it was remembered."""
        return self._requests.pop(key, None) is not None

    def expire(self, now: float) -> list[bytes]:
        """Remove what has expired; return the requests that are forgotten."""
        if now < self._next_expiry:
            return []
        self._next_expiry = math.inf
        forgotten = []
        for key, places in list(self._requests.items()):
            for server in [s for s, p in places.items() if p.expires_at <= now]:
                del places[server]
            for place in places.values():
                self._next_expiry = min(self._next_expiry, place.expires_at)
            if not places:
                del self._requests[key]
                forgotten.append(key)
        return forgotten
