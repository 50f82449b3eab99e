"""Selection of the entries that a process sends of a table of sums.

Load pattern: a table of some hundred sums changes all the time, and more receivers than
one get it over links of which it may use a few kilobytes a second. Entries are selected
once for all receivers: changed ones first, then those that were not sent for the
longest time. A receiver that asks rarely gets the last few selections together.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Final, NamedTuple

import msgspec

from ..core.ledgerwire import (
    LOAD_BYTES,
    MAX_PACKED,
    PictureBlock,
    ServerHealth,
    ServerLoad,
    pack_loads,
)
from .digest import AGE_UNIT_S

# Blocks that a receiver gets at most in one message.
MAX_BLOCKS: Final = 4
# Seconds after which an unchanged entry is sent again: in each block, as far as the
# bytes allow. Otherwise entries from other domains expire between two blocks.
REFRESH_S: Final = 0.2
# Fraction of the bytes of a block that failures may take before the loads.
HEALTH_FRACTION: Final = 0.25
# Bytes of the frame and of the fields around a block, and of a block without entries.
OVERHEAD_BYTES: Final = 96
BLOCK_HEADER_BYTES: Final = 8

_ENCODER: Final = msgspec.msgpack.Encoder()


class LoadSum(NamedTuple):
    """Sum of loads, and when its oldest part was true."""

    in_flight: int
    token_units: int
    as_of: float


class HealthSum(NamedTuple):
    """Sum of outcomes, and when its oldest part was true."""

    failures: int
    successes: int
    silent: int
    witnesses: int
    as_of: float


class AgedBlock(NamedTuple):
    """A block and its age in seconds."""

    block: msgspec.Raw
    age_s: float


class _Block(NamedTuple):
    number: int
    made_at: float
    data: msgspec.Raw


class BlockStream:
    """Successive selections of entries from a table.

    Parameters
    ----------
    interval_s : float
        Seconds between two blocks.
    bytes_per_s : float
        Bytes that all blocks and their messages may take per second and receiver.
    """

    def __init__(self, interval_s: float, bytes_per_s: float) -> None:
        self.number = 0
        self._interval_s = interval_s
        self._bytes_per_s = bytes_per_s
        self._made_at = -math.inf
        self._blocks: deque[_Block] = deque(maxlen=MAX_BLOCKS)
        # The last sent load of each server, and when it was sent.
        self._sent: dict[int, tuple[int, int, float]] = {}

    def is_due(self, now: float) -> bool:
        """Return whether the next block may be made."""
        return now - self._made_at >= self._interval_s

    def make_block(
        self,
        loads: Mapping[int, LoadSum],
        healths: Mapping[int, HealthSum],
        now: float,
    ) -> None:
        """Make the next block from the current sums."""
        elapsed_s = min(now - self._made_at, MAX_BLOCKS * self._interval_s)
        if self._made_at == -math.inf:
            elapsed_s = self._interval_s
        budget = self._bytes_per_s * elapsed_s - OVERHEAD_BYTES - BLOCK_HEADER_BYTES
        self._made_at = now
        chosen_healths = _select_healths(healths, now, HEALTH_FRACTION * budget)
        budget -= sum(len(_ENCODER.encode(entry)) for entry in chosen_healths)
        chosen_loads = self._select_loads(loads, now, budget)
        self.number += 1
        block = PictureBlock(pack_loads(chosen_loads), chosen_healths)
        data = _ENCODER.encode(block)
        self._blocks.append(_Block(self.number, now, msgspec.Raw(data)))

    def since(self, number: int, now: float) -> list[AgedBlock]:
        """Return the blocks after a number, oldest first."""
        return [
            AgedBlock(block.data, now - block.made_at)
            for block in self._blocks
            if block.number > number
        ]

    def _select_loads(
        self, loads: Mapping[int, LoadSum], now: float, budget: float
    ) -> list[ServerLoad]:
        candidates: list[tuple[bool, float, int]] = []
        for server, total in loads.items():
            last = self._sent.get(server)
            if last is None:
                candidates.append((False, -math.inf, server))
                continue
            is_same = last[0] == total.in_flight and last[1] == total.token_units
            if not is_same or now - last[2] >= REFRESH_S:
                candidates.append((is_same, last[2], server))
        for server, last in self._sent.items():
            if server not in loads:
                candidates.append((False, last[2], server))
        candidates.sort()
        del candidates[max(0, int(budget / LOAD_BYTES)) :]
        chosen: list[ServerLoad] = []
        for _, _, server in candidates:
            entry = self._entry(server, loads.get(server), now)
            chosen.append(entry)
            if server in loads:
                self._sent[server] = entry.in_flight, entry.token_units, now
            else:
                del self._sent[server]
        return chosen

    def _entry(self, server: int, total: LoadSum | None, now: float) -> ServerLoad:
        if total is None:
            return ServerLoad(server, 0, 0)
        return ServerLoad(
            server, total.in_flight, total.token_units, _age_units(now - total.as_of)
        )


def _select_healths(
    healths: Mapping[int, HealthSum], now: float, budget: float
) -> list[ServerHealth]:
    worst_first = sorted(
        healths.items(), key=lambda item: (-item[1].witnesses, -item[1].failures)
    )
    chosen: list[ServerHealth] = []
    for server, total in worst_first:
        entry = ServerHealth(server, *total[:4], _age_units(now - total.as_of))
        budget -= len(_ENCODER.encode(entry))
        if budget < 0:
            break
        chosen.append(entry)
    return chosen


def _age_units(seconds: float) -> int:
    return min(MAX_PACKED, max(0, math.ceil(seconds / AGE_UNIT_S)))
