"""The slot table: reading it, and changing it by compare-and-swap.

The table is cut into segments, one key each.  A process gathers the rows it wants
changed and writes all rows of a segment in one compare-and-swap, so the loss of a
process that was a member of many slots costs the platform's service one read and one
write per segment and surviving partner, and nothing at rest.

A row is only ever proposed by a process that the present row names (or, for slots
that are not placed or have lost all members, by one chosen process), and its epoch
is the present one plus one.  A write whose answer was lost is never assumed: the
segment is read back, and the row either carries this process's proposal or it does
not.
"""

from __future__ import annotations

from typing import Final

import msgspec

from .events import (
    Effect,
    Event,
    KvConflict,
    KvRead,
    KvSwap,
    KvUnknown,
    KvValue,
    KvWritten,
)
from .hashing import hash64
from .replica import SlotRow

SEGMENT_PREFIX: Final = "slots/"
RETRY_S: Final = 0.05
RETRY_MAX_S: Final = 2.0
ANSWER_TIMEOUT_S: Final = 5.0

_ROWS: Final = msgspec.msgpack.Decoder(list[SlotRow])


def segment_key(slot: int, segments: int) -> str:
    """Key of the segment that holds a slot's row."""
    return f"{SEGMENT_PREFIX}{slot % segments}"


def encode_rows(rows: dict[int, SlotRow]) -> bytes:
    """Encode a segment."""
    return msgspec.msgpack.encode([rows[slot] for slot in sorted(rows)])


def decode_rows(value: bytes) -> dict[int, SlotRow]:
    """Decode a segment; no bytes are an empty one."""
    if not value:
        return {}
    return {row.slot: row for row in _ROWS.decode(value)}


class _Segment:
    """Proposals for one segment and the call to the service under way."""

    def __init__(self) -> None:
        self.wanted: dict[int, SlotRow] = {}
        self.busy_until = 0.0
        self.not_before = 0.0
        self.attempts = 0


class Placement:
    """Proposes rows and reports the confirmed table.

    Parameters
    ----------
    me : str
        Member id of this process.
    slots, segments : int
        Size of the table; the same in every process.
    """

    def __init__(self, me: str, slots: int, segments: int) -> None:
        self.slots = slots
        self.segments = segments
        self.rows: dict[int, SlotRow] = {}
        self.writes = 0
        self._me = me
        self._segments = {f"{SEGMENT_PREFIX}{n}": _Segment() for n in range(segments)}

    def owns(self, key: str) -> bool:
        """Whether a key is a segment of the table."""
        return key in self._segments

    def propose(self, row: SlotRow) -> None:
        """Ask for a row; it is proposed until the table has a later epoch."""
        key = segment_key(row.slot, self.segments)
        self._segments[key].wanted[row.slot] = row

    def withdraw(self, slot: int) -> None:
        """Take a proposal back; a write of it already under way may still win."""
        segment = self._segments[segment_key(slot, self.segments)]
        segment.wanted.pop(slot, None)

    def settle(self, slot: int, epoch: int) -> None:
        """Drop a proposal that the table has overtaken."""
        segment = self._segments[segment_key(slot, self.segments)]
        row = segment.wanted.get(slot)
        if row is not None and row.epoch <= epoch:
            del segment.wanted[slot]

    def apply_segment(self, value: bytes) -> list[SlotRow]:
        """Take a confirmed segment; rows newer than those known are returned."""
        news = []
        for slot, row in decode_rows(value).items():
            known = self.rows.get(slot)
            if known is None or row.epoch > known.epoch:
                self.rows[slot] = row
                self.settle(slot, row.epoch)
                news.append(row)
        return news

    def tick(self, now: float) -> list[Effect]:
        """Begin a read for every segment with something to propose."""
        effects: list[Effect] = []
        for key, segment in self._segments.items():
            idle = now >= segment.busy_until and now >= segment.not_before
            if segment.wanted and idle:
                segment.busy_until = now + ANSWER_TIMEOUT_S
                effects.append(KvRead(key))
        return effects

    def on_kv_response(self, event: Event, now: float) -> list[Effect]:
        """Go on after an answer of the key-value service."""
        match event:
            case KvValue(key, revision, value):
                return self._swap(key, revision, value, now)
            case KvWritten(key, _, _):
                segment = self._segments[key]
                segment.busy_until = 0.0
                segment.attempts = 0
                self.writes += 1
            case KvConflict(key) | KvUnknown(key, _):
                self._back_off(key, now)
        return []

    def _swap(self, key: str, revision: int, value: bytes, now: float) -> list[Effect]:
        segment = self._segments[key]
        rows = decode_rows(value)
        changed = False
        for slot, row in segment.wanted.items():
            present = rows.get(slot)
            epoch = present.epoch if present is not None else 0
            if row.epoch == epoch + 1:
                rows[slot] = row
                changed = True
        if not changed:
            segment.busy_until = 0.0
            segment.not_before = now + RETRY_S
            return []
        segment.busy_until = now + ANSWER_TIMEOUT_S
        return [KvSwap(key, revision, encode_rows(rows))]

    def _back_off(self, key: str, now: float) -> None:
        """Wait longer after each failure, with jitter against herds.

        Many processes propose at once when a failure domain goes.  Without jitter
        they would collide again in every round.
        """
        segment = self._segments[key]
        segment.busy_until = 0.0
        segment.attempts += 1
        delay = min(RETRY_MAX_S, RETRY_S * 2 ** min(segment.attempts, 10))
        jitter = hash64(self._me, key, str(segment.attempts)) % 1000 / 1000
        segment.not_before = now + delay * (0.5 + jitter)
