"""What connections report of the bytes that they hold and move."""

from __future__ import annotations

from typing import NamedTuple

from ..scheduling.buffers import BufferBudget
from ..scheduling.relay_load import Traffic


class ConnectionMeter(NamedTuple):
    """Budget and traffic count that connections share.

    Attributes
    ----------
    counts_requests : bool
        Whether requests to servers are counted besides what is unread of responses.
        Otherwise, all that is kept of responses is counted.
    """

    buffers: BufferBudget
    traffic: Traffic
    counts_requests: bool = True
