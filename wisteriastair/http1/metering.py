"""What connections report of the bytes that they hold and move."""

from __future__ import annotations

from typing import NamedTuple

from ..scheduling.buffers import BufferBudget
from ..scheduling.relay_load import Traffic


class ConnectionMeter(NamedTuple):
    """Budget and traffic count that connections share.

    Attributes
    ----------
    has_shares : bool
        Whether a stream is read from its server as long as the caller's unsent data is
        within its share.  Otherwise it is read while the write buffer has capacity,
        and what is retained of it is counted, too.
    """

    buffers: BufferBudget
    traffic: Traffic
    has_shares: bool = True
