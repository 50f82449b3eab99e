"""Overload of a relay: lag of its event loop, and use of its link.

Load pattern: relays of 0.39 to 2.15 cores and 15 to 100 Mbit/s get equally many
callers.  A small relay then answers all its programs late, while others have capacity.
Such a relay refuses new programs, whose callers retry through another relay.  Turns and
tool calls of programs under way are not refused: their earlier work would be lost.

Relays cannot see each other's readiness.  A relay reports itself as not ready only in
time slots that a hash of its name and the slot selects, one third of them, so that on
average at most a third of the relays of a domain are not ready for overload at once.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from ..core.hashing import hash64
from ..core.routes import HASH_RANGE

# A program of four turns passes the event loop about 24 times (request, reservation,
# permit, response, events, settlement).  With this lag it needs about 1 s more, which
# is all that a target of 1.6 times 1.2 s plus 271 ms allows.
MAX_LAG_S: Final = 0.04
# Less than half of it, so that a relay that accepts again has reserves.
LOW_LAG_S: Final = 0.015
# Weight of one sample; with a sample every 50 ms the average covers about 0.5 s.
LAG_WEIGHT: Final = 0.1
# One pause of the process, as by a suspended machine, must not count as overload.  Four
# pauses of this length or more within the average do.
MAX_LAG_SAMPLE_S: Final = 0.15
# Use of the link above which queues grow quickly, and below which there are reserves.
MAX_LINK_USE: Final = 0.85
LOW_LINK_USE: Final = 0.7
LINK_WINDOW_S: Final = 1.0
# The platform stops using a relay after two failed checks of 1 s each.
READY_SLOT_S: Final = 10.0
UNREADY_FRACTION: Final = 1.0 / 3.0
# Overload shorter than this is left to refusals.
SUSTAINED_OVERLOAD_S: Final = 3.0


class Traffic:
    """Bytes of callers' and servers' connections since the start.

    Connections add to the fields directly, since this happens for every packet.
    """

    __slots__ = ("sent_bytes", "received_bytes")

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class _TrafficSample(NamedTuple):
    time: float
    sent_bytes: int
    received_bytes: int


class RelayLoad:
    """Decides whether a relay is overloaded.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth of the link in each direction; 0 if unknown, which disables its limit.

    Attributes
    ----------
    lag_s : float
        Smoothed lag of the event loop in seconds.
    link_use : float
        Used fraction of the link in the busier direction.
    is_overloaded : bool
        Whether new programs are refused.
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        self.lag_s = 0.0
        self.link_use = 0.0
        self.is_overloaded = False
        self._link_bytes_per_s = link_bytes_per_s
        self._samples: deque[_TrafficSample] = deque()

    def record_lag(self, lag_s: float) -> None:
        """Record by how many seconds the event loop was late."""
        sample = min(MAX_LAG_SAMPLE_S, max(0.0, lag_s))
        self.lag_s += LAG_WEIGHT * (sample - self.lag_s)
        self._update_state()

    def record_traffic(self, traffic: Traffic, now: float) -> None:
        """Compute the use of the link in the last second."""
        if self._link_bytes_per_s <= 0:
            return
        sample = _TrafficSample(now, traffic.sent_bytes, traffic.received_bytes)
        self._samples.append(sample)
        while len(self._samples) > 2 and now - self._samples[1].time >= LINK_WINDOW_S:
            self._samples.popleft()
        first = self._samples[0]
        if now <= first.time:
            return
        moved_bytes = max(
            sample.sent_bytes - first.sent_bytes,
            sample.received_bytes - first.received_bytes,
        )
        # Right after the start, a short burst is divided by the whole window.
        span_s = max(LINK_WINDOW_S, now - first.time)
        self.link_use = moved_bytes / span_s / self._link_bytes_per_s
        self._update_state()

    def _update_state(self) -> None:
        if self.lag_s > MAX_LAG_S or self.link_use > MAX_LINK_USE:
            self.is_overloaded = True
        elif self.lag_s < LOW_LAG_S and self.link_use < LOW_LINK_USE:
            self.is_overloaded = False


class OverloadReadiness:
    """Decides whether a relay reports itself as not ready because of overload.

    It does so from the third second of overload until the overload ends or the time
    slot does, and never in two slots in succession.

    Parameters
    ----------
    name : str
        Name of the instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._overloaded_at: float | None = None
        self._unready_slot: int | None = None

    def is_ready(self, is_overloaded: bool, now: float, wall_s: float) -> bool:
        """Return whether the relay is ready.

        Parameters
        ----------
        now : float
            Time on a clock that is never set, in seconds.
        wall_s : float
            Seconds since 1970, from which the time slot is computed.
        """
        if not is_overloaded:
            self._overloaded_at = None
            return True
        if self._overloaded_at is None:
            self._overloaded_at = now
        if now - self._overloaded_at < SUSTAINED_OVERLOAD_S:
            return True
        slot = int(wall_s // READY_SLOT_S)
        if self._unready_slot is not None and slot == self._unready_slot + 1:
            return True
        if not may_be_unready(self._name, slot):
            return True
        self._unready_slot = slot
        return False


def may_be_unready(name: str, slot: int) -> bool:
    """Whether a time slot is one in which the relay may report overload."""
    return hash64("unready", name, str(slot)) / HASH_RANGE < UNREADY_FRACTION
