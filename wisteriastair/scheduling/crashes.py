"""Which servers crashed under each request, and which requests are quarantined.

Load pattern: one request crashes every server that starts it. Its caller sends it again
under a new id, mostly to another relay, and its program sends the whole turn again, so
a limit for each attempt bounds nothing: a service of six servers is gone in seconds.
Therefore crashes are counted for the request, whatever its ids, and a request under
which `MAX_CRASHES` servers have crashed is not sent any more.

The other requests of a crashed server are counted as well, since nobody knows which one
was the cause. They are served by the next server, and a request that any server has
answered is forgotten. An innocent request is quarantined only if it shared each of the
servers with the cause, or lost them to other faults, without an answer in between.
Requests that many callers send alike are not counted while others are answered.

A server that may have crashed takes a place of the bound until that is known, see
`exposure`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final, NamedTuple

from ..core.crashwire import ExposedServer, RequestCrashes, SettledServers
from .exposure import EXPOSURE_S, Exposures, Suspicion

# Servers that may crash under one request.
MAX_CRASHES: Final = 3
# Seconds after the last crash for which a request is remembered: far longer than the
# retries of a program, short enough that a repaired service is used.
QUARANTINE_S: Final = 600.0
# The same for a request without a program, longer than the retries of its caller. Other
# callers send the same request and would be refused for as long.
SINGLE_QUARANTINE_S: Final = 30.0
# Requests that are remembered; some 500 bytes each. When a failure domain ends, each
# request that was running there is counted once.
MAX_REQUESTS: Final = 4096
# Quarantined requests that are remembered in addition.
MAX_QUARANTINED: Final = 256
# Bytes of each half of a request key.
DIGEST_BYTES: Final = 8
KEY_BYTES: Final = 2 * DIGEST_BYTES
# Bytes at each end of a body that a sampled digest covers.
SAMPLE_BYTES: Final = 1024
# Stands for different headers. No digest has this length.
MIXED_VARIANTS: Final = b"*"
# Seconds for which the answer to a request without a program is remembered. A page
# that begins to crash servers is counted after this time.
ANSWERED_AGE_S: Final = 10.0
# Answers that are remembered, and the largest request for which that is done: the
# digest of a larger body costs more than it tells.
MAX_ANSWERED: Final = 2048
MAX_ANSWERED_BODY: Final = 4096
# Characters that describe a request to operators.
MAX_DESCRIPTION: Final = 200
# Entries of one message that are read.
MAX_ENTRIES: Final = 4096
MS_PER_S: Final = 1000.0
# Seconds by which a message may be faster than the one before it.
MAX_MESSAGE_SKEW_S: Final = 0.02


class CrashLimits(NamedTuple):
    """When a request is quarantined, and for how long.

    Attributes
    ----------
    max_crashes : int
        Servers that may crash under one request.
    quarantine_s : float
        Seconds after its last crash for which a request is remembered; at most
        `SINGLE_QUARANTINE_S` for one without a program.
    """

    max_crashes: int = MAX_CRASHES
    quarantine_s: float = QUARANTINE_S

    def duration_s(self, identity: RequestIdentity) -> float:
        """Return the seconds for which a request is remembered after a crash."""
        if identity.program:
            return self.quarantine_s
        return min(SINGLE_QUARANTINE_S, self.quarantine_s)


DEFAULT_LIMITS: Final = CrashLimits()


class RequestIdentity(NamedTuple):
    """What is the same in all attempts of a request, and differs between requests.

    Ids of attempts, deadlines and the position in a resumed stream are left out. The
    session and the previous turn distinguish the turns of a program, which may be equal
    in all else.

    Attributes
    ----------
    customer, method, host, target : str
        Name of the customer, and the first line of the request.
    program, session, previous_turn : str
        Ids that the caller sent; empty if it sent none.
    variant : bytes
        Digest of the headers, of a request without a program. Many callers send the
        same page, and one of them may send a header that crashes servers.
    """

    customer: str
    method: str
    host: str
    target: str
    program: str
    session: str
    previous_turn: str
    body: bytes
    variant: bytes = b""

    def envelope_digest(self) -> bytes:
        """Return the digest of all but the body, the first half of the key."""
        parts = (
            self.customer,
            self.method,
            self.host,
            self.target,
            self.program,
            self.session,
            self.previous_turn,
        )
        return _digest("\x00".join(parts).encode() + self.variant)

    def sampled_digest(self) -> bytes:
        """Return a digest of all but the middle of a large body."""
        ends = self.body[:SAMPLE_BYTES] + self.body[-SAMPLE_BYTES:]
        size = str(len(self.body)).encode()
        return _digest(self.envelope_digest() + size + b":" + ends)

    def description(self) -> str:
        """Return what operators are told of the request; the query may be private."""
        path = self.target.partition("?")[0]
        parts = [self.method, self.host + path]
        if self.program:
            parts.append(f"program {self.program}")
        if self.customer:
            parts.append(f"customer {self.customer}")
        return " ".join(parts)[:MAX_DESCRIPTION]

    def key(self) -> bytes:
        """Return the key of the request."""
        return self.envelope_digest() + _digest(self.body)


def _digest(data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def headers_digest(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the digest of headers, whatever their order."""
    pairs = sorted(name.lower() + b":" + value for name, value in headers)
    return _digest(b"\n".join(pairs))


class AnsweredRequests:
    """Requests without a program that servers have answered in the last seconds.

    Many callers ask for the same page, and their requests have the same key. On a busy
    page some are running at each server that crashes, whatever the cause. That others
    are answered shows that the page is not the cause.
    """

    def __init__(self) -> None:
        # In the order of their answers.
        self._answered_at: dict[bytes, float] = {}

    def add(self, identity: RequestIdentity, now: float) -> None:
        """Record an answer, unless the request is one of a program or is large."""
        if identity.program or len(identity.body) > MAX_ANSWERED_BODY:
            return
        key = identity.key()
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]

    def is_recent(self, key: bytes, now: float) -> bool:
        """Return whether a request was answered a short time ago."""
        answered_at = self._answered_at.get(key)
        return answered_at is not None and now - answered_at <= ANSWERED_AGE_S


class _Crashes:
    """Servers that crashed under one request."""

    def __init__(self) -> None:
        self.servers: set[int] = set()
        self.expires_at = 0.0
        self.description = ""


class CrashTable:
    """Servers that crashed under each request.

    Parameters
    ----------
    limits : CrashLimits
        When a request is quarantined, and for how long.

    Attributes
    ----------
    exposures : Exposures
        Servers that may turn out to have crashed. They are added and removed by the
        methods of this class.
    """

    def __init__(self, limits: CrashLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.exposures = Exposures(limits.max_crashes)
        # Both in the order of the last crash.
        self._suspects: dict[bytes, _Crashes] = {}
        self._quarantined: dict[bytes, _Crashes] = {}
        # Number of remembered requests by the digest of their envelopes. Digesting a
        # large body for each request would cost more than choosing its server.
        self._envelopes: dict[bytes, int] = {}
        # Requests that may get other servers than before.
        self._pardoned: dict[bytes, None] = {}
        # Digest of the headers with which each request was at risk, if known.
        self._variants: dict[bytes, bytes] = {}
        # No request expires earlier.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        return len(self._suspects) + len(self._quarantined)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantined)

    def find(self, identity: RequestIdentity) -> bytes | None:
        """Return the key of a request if it is remembered."""
        if not self._envelopes:
            return None
        envelope = identity.envelope_digest()
        if envelope not in self._envelopes:
            return None
        key = envelope + _digest(identity.body)
        return key if key in self else None

    def __contains__(self, key: object) -> bool:
        is_known = key in self._suspects or key in self._quarantined
        return is_known or key in self.exposures

    def allowed_servers(
        self, key: bytes, also_exposed: Iterable[int] = ()
    ) -> frozenset[int] | None:
        """Return the only servers that may get a request; None if any may.

        Parameters
        ----------
        also_exposed : iterable of int
            Servers at which attempts of the request are running.
        """
        exposed = self.exposed(key, also_exposed)
        if len(self.servers(key)) + len(exposed) < self.limits.max_crashes:
            return None
        return exposed

    def exposed(self, key: bytes, also_exposed: Iterable[int]) -> frozenset[int]:
        """Return the servers that may turn out to have crashed under a request."""
        exposed = {*self.exposures.servers(key), *also_exposed}
        return frozenset(exposed - self.servers(key))

    def at_risk(self, key: bytes) -> int:
        """Return the number of servers that crashed or may turn out to have."""
        return len(self.servers(key) | self.exposures.servers(key).keys())

    def has_survivors_only(self, key: bytes) -> bool:
        """Return whether all servers of a request are known to live on after it."""
        places = self.exposures.places(key).values()
        is_survivor = [place.suspicion is Suspicion.SURVIVED for place in places]
        return not self.servers(key) and all(is_survivor)

    def expose(
        self,
        key: bytes,
        server: int,
        expires_at: float,
        suspicion: Suspicion = Suspicion.OPEN,
    ) -> bool:
        """Add a server that may have crashed under a request.

        Invalid keys are ignored.

        Returns
        -------
        bool
            Whether that says anything new.
        """
        if len(key) != KEY_BYTES or self.is_quarantined(key):
            return False
        if server in self.servers(key):
            return False
        is_first = key not in self.exposures
        oldest = self.exposures.oldest_if_full() if is_first else None
        if oldest is not None:
            self._forget_exposures(oldest)
        is_new = self.exposures.add(key, server, expires_at, suspicion)
        if is_first:
            self._count_envelope(key, 1)
        return is_new

    def settle(self, key: bytes, server: int, until: float = math.inf) -> bool:
        """Record that a server has survived a request; return whether that is new."""
        if not self.exposures.settle(key, server, until):
            return False
        if key not in self.exposures:
            self._count_envelope(key, -1)
        return True

    def _forget_exposures(self, key: bytes) -> bool:
        if not self.exposures.forget(key):
            return False
        self._count_envelope(key, -1)
        return True

    def _count_envelope(self, key: bytes, change: int) -> None:
        envelope = key[:DIGEST_BYTES]
        count = self._envelopes.get(envelope, 0) + change
        if count:
            self._envelopes[envelope] = count
        else:
            del self._envelopes[envelope]
        if change < 0 and key not in self:
            self._variants.pop(key, None)

    def variant(self, key: bytes) -> bytes:
        """Return the digest of the headers of a request; empty if it is unknown."""
        return self._variants.get(key, b"")

    def add_variant(self, key: bytes, variant: bytes) -> None:
        """Record with which headers a request was at risk."""
        if variant and key in self:
            known = self._variants.setdefault(key, variant)
            self._variants[key] = variant if variant == known else MIXED_VARIANTS

    def count(self, key: bytes) -> int:
        """Return the number of servers that crashed under a request."""
        return len(self.servers(key))

    def servers(self, key: bytes) -> frozenset[int]:
        """Return the keys of the servers that crashed under a request."""
        crashes = self._quarantined.get(key) or self._suspects.get(key)
        return frozenset(crashes.servers) if crashes else frozenset()

    def remaining_s(self, key: bytes, now: float) -> float:
        """Return the seconds until the crashes under a request are forgotten."""
        crashes = self._quarantined.get(key) or self._suspects.get(key)
        return max(0.0, crashes.expires_at - now) if crashes else 0.0

    def description(self, key: bytes) -> str:
        """Return what is known of a request; empty before the first crash."""
        crashes = self._quarantined.get(key) or self._suspects.get(key)
        return crashes.description if crashes else ""

    def quarantined_keys(self) -> list[bytes]:
        """Return the quarantined requests."""
        return list(self._quarantined)

    def keys(self) -> list[bytes]:
        """Return the remembered requests."""
        return list(
            dict.fromkeys([*self._quarantined, *self._suspects, *self.exposures.keys()])
        )

    def pardon(self, key: bytes) -> None:
        """End a quarantine before its time: the servers are believed to be repaired."""
        self.forget(key)
        if len(self._pardoned) >= MAX_QUARANTINED:
            del self._pardoned[next(iter(self._pardoned))]
        self._pardoned[key] = None

    def is_pardoned(self, identity: RequestIdentity) -> bool:
        """Return whether a request was pardoned and not quarantined again."""
        return bool(self._pardoned) and identity.key() in self._pardoned

    def is_quarantined(self, key: bytes) -> bool:
        """Return whether a request must not be sent to a server."""
        return key in self._quarantined

    def add(
        self,
        key: bytes,
        servers: Iterable[int],
        expires_at: float,
        description: str = "",
    ) -> bool:
        """Add servers that crashed under a request; return whether any is new.

        Invalid keys are ignored, and servers beyond the limit say nothing more.

        Parameters
        ----------
        expires_at : float
            Time at which the request is forgotten, unless it is added again.
        """
        if len(key) != KEY_BYTES:
            return False
        servers = list(servers)
        variant = self.variant(key)
        for server in servers:
            self.settle(key, server)
        known = self.servers(key)
        new = [s for s in dict.fromkeys(servers) if s not in known]
        new = new[: max(0, self.limits.max_crashes - len(known))]
        if not new:
            return False
        crashes = self._take(key) or _Crashes()
        crashes.servers.update(new)
        crashes.expires_at = max(crashes.expires_at, expires_at)
        self._next_expiry = min(self._next_expiry, crashes.expires_at)
        crashes.description = description[:MAX_DESCRIPTION] or crashes.description
        is_quarantined = len(crashes.servers) >= self.limits.max_crashes
        if is_quarantined:
            self._pardoned.pop(key, None)
        entries = self._quarantined if is_quarantined else self._suspects
        limit = MAX_QUARANTINED if is_quarantined else MAX_REQUESTS
        if len(entries) >= limit:
            self._take(next(iter(entries)))
        entries[key] = crashes
        self._count_envelope(key, 1)
        self.add_variant(key, variant)
        return True

    def forget(self, key: bytes, variant: bytes = b"") -> bool:
        """Forget a request; return whether it was remembered.

        Parameters
        ----------
        variant : bytes
            Digest of its headers. A request that was at risk with other ones stays.
        """
        if variant and self._variants.get(key, variant) != variant:
            return False
        is_exposed = self._forget_exposures(key)
        return self._take(key) is not None or is_exposed

    def expire(self, now: float) -> None:
        """Forget the requests whose time is over."""
        for key in self.exposures.expire(now):
            self._count_envelope(key, -1)
        if now < self._next_expiry:
            return
        self._next_expiry = math.inf
        for entries in (self._suspects, self._quarantined):
            for key, crashes in list(entries.items()):
                if crashes.expires_at <= now:
                    self._take(key)
                else:
                    self._next_expiry = min(self._next_expiry, crashes.expires_at)

    def _take(self, key: bytes) -> _Crashes | None:
        crashes = self._suspects.pop(key, None) or self._quarantined.pop(key, None)
        if crashes is not None:
            self._count_envelope(key, -1)
        return crashes


def make_entry(table: CrashTable, key: bytes, now: float) -> RequestCrashes:
    """Return what a table knows of a request, as part of a message."""
    remaining_ms = int(table.remaining_s(key, now) * MS_PER_S)
    exposed = [
        ExposedServer(server, int((place.expires_at - now) * MS_PER_S), place.suspicion)
        for server, place in table.exposures.places(key).items()
    ]
    servers = sorted(table.servers(key))
    return RequestCrashes(
        key,
        servers,
        remaining_ms,
        table.description(key),
        exposed,
        table.variant(key),
    )


def add_entry(table: CrashTable, entry: RequestCrashes, now: float) -> bool:
    """Add an entry of a message to a table; return whether it says anything new."""
    is_new = False
    remaining_s = min(table.limits.quarantine_s, entry.remaining_ms / MS_PER_S)
    if remaining_s > 0:
        expires_at = now + remaining_s
        is_new = table.add(entry.key, entry.servers, expires_at, entry.description)
    for exposed in entry.exposed[: table.limits.max_crashes]:
        exposed_s = min(EXPOSURE_S, exposed.remaining_ms / MS_PER_S)
        if exposed_s > 0:
            is_new |= table.expose(
                entry.key,
                exposed.server,
                now + exposed_s,
                _suspicion(exposed.suspicion),
            )
    table.add_variant(entry.key, entry.variant)
    return is_new


def _suspicion(value: int) -> Suspicion:
    """Decode a value of a message; one of a later build says nothing."""
    return Suspicion(value) if value in set(Suspicion) else Suspicion.OPEN


def settle_entry(table: CrashTable, entry: SettledServers, now: float) -> list[int]:
    """Apply settled servers of a message; return those that were unsettled.

    A server that got the request again since then expires later and stays unsettled.
    """
    return [
        settled.server
        for settled in entry.servers[: table.limits.max_crashes]
        if table.settle(
            entry.key,
            settled.server,
            now + settled.remaining_ms / MS_PER_S + MAX_MESSAGE_SKEW_S,
        )
    ]
