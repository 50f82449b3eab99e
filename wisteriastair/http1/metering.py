"""What connections report of the bytes that they hold and move."""

from __future__ import annotations

from typing import NamedTuple

from ..scheduling.buffers import BufferBudget
from ..scheduling.relay_load import Traffic


class ConnectionMeter(NamedTuple):
    """Budget and traffic count that connections share."""

    buffers: BufferBudget
    traffic: Traffic
