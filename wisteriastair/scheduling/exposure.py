"""Servers that got a request and are not yet known to have survived it.

Load pattern: a request crashes each server that reads it, and the crash shows later
than the next attempt is sent: the server answers with an error first, resets the
connection and listens for some time more, or falls silent with its machine. A count of
known crashes is then always behind, and each attempt crashes another server.

Therefore a request has a bounded set of servers that have crashed or may yet turn out
to have. While the set is full, further attempts go to its members only, which costs no
other server. A server leaves the set when it answers a request that was sent to it some
time later, or when it still listens after the time in which a crash would have shown.
"""

from __future__ import annotations

import math
from typing import Final

# Seconds after which a server without evidence of a crash counts as alive: longer than
# the platform keeps the entry of a silent server.
EXPOSURE_S: Final = 10.0
# Requests that are remembered; some 300 bytes each.
MAX_EXPOSED_REQUESTS: Final = 4096


class Exposures:
    """Servers of each request that may turn out to have crashed under it.

    Parameters
    ----------
    max_servers : int
        Servers that are remembered for one request.
    """

    def __init__(self, max_servers: int) -> None:
        self._max_servers = max_servers
        # Expiry of each server of a request; requests in the order of their first one.
        self._requests: dict[bytes, dict[int, float]] = {}
        # No server expires earlier.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: object) -> bool:
        return key in self._requests

    def keys(self) -> list[bytes]:
        """Return the remembered requests."""
        return list(self._requests)

    def servers(self, key: bytes) -> dict[int, float]:
        """Return the servers of a request, and when each of them expires."""
        return self._requests.get(key, {})

    def requests_of(self, server: int) -> list[bytes]:
        """Return the requests that a server may have crashed under."""
        return [key for key, servers in self._requests.items() if server in servers]

    def add(self, key: bytes, server: int, expires_at: float) -> bool:
        """Add a server of a request; return whether it is new."""
        servers = self._requests.get(key)
        if servers is None:
            servers = self._requests[key] = {}
        is_new = server not in servers
        if is_new and len(servers) >= self._max_servers:
            return False
        servers[server] = max(expires_at, servers.get(server, expires_at))
        self._next_expiry = min(self._next_expiry, servers[server])
        return is_new

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
        servers = self._requests.get(key, {})
        if server not in servers or servers[server] > until:
            return False
        del servers[server]
        if not servers:
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
        for key, servers in list(self._requests.items()):
            for server in [s for s, at in servers.items() if at <= now]:
                del servers[server]
            if servers:
                self._next_expiry = min(self._next_expiry, *servers.values())
            else:
                del self._requests[key]
                forgotten.append(key)
        return forgotten
