"""Order and age of messages on a link between two processes with different clocks.

The ends of a link have clocks that differ by any amount.  Each message therefore
returns the newest stamp of the other end and states for how long it was held.  The
receiver subtracts both from its own clock.  The result is the time of a round trip
without the pause at the other end, which is an upper bound of the time that this
message was under way.  Delays in queues of a transport are included.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from .ledgerwire import LinkTiming

MS_PER_S: Final = 1000.0
# Clocks of one machine differ by less than this in ms over some seconds.  Rounding to
# whole milliseconds makes a round trip appear up to this much shorter or longer.
ROUNDING_MS: Final = 1


class Arrival(NamedTuple):
    """Order and age of a received message.

    Attributes
    ----------
    is_new : bool
        False for a duplicate, and for a message that a newer one has overtaken.
    transit_s : float
        Upper bound in seconds of the time that it was under way; infinite if unknown.
    is_valid : bool
        False if the sender states an impossible time.
    """

    is_new: bool
    transit_s: float
    is_valid: bool = True


class Link:
    """One end of a link to one incarnation of another process."""

    def __init__(self) -> None:
        self._sent_stamp = -1
        self._received_stamp = -1
        self._received_at = 0.0

    def next_timing(self, now: float) -> LinkTiming:
        """Return the timing of the next message to send.

        The stamp also gives the order of the messages.  A counter would start again if
        this end forgets the link, and the other end would ignore all further messages.
        """
        self._sent_stamp = max(self._sent_stamp + 1, int(now * MS_PER_S))
        held_ms = 0
        if self._received_stamp >= 0:
            held_ms = max(0, int((now - self._received_at) * MS_PER_S))
        return LinkTiming(self._sent_stamp, self._received_stamp, held_ms)

    def receive(self, timing: LinkTiming, now: float) -> Arrival:
        """Record a received message and return its order and age."""
        if 0 <= timing.stamp <= self._received_stamp:
            return Arrival(False, math.inf)
        if timing.stamp < 0 or timing.echo < -1 or timing.held_ms < 0:
            return Arrival(False, math.inf, False)
        self._received_stamp = timing.stamp
        self._received_at = now
        if timing.echo < 0:
            return Arrival(True, math.inf)
        transit_ms = now * MS_PER_S - timing.echo - timing.held_ms
        if transit_ms < -ROUNDING_MS:
            return Arrival(True, math.inf, False)
        return Arrival(True, max(0.0, transit_ms) / MS_PER_S)
