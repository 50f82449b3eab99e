"""The slot table: reading it, and changing it by compare-and-swap.

The table is split into segments, one key each. A process collects its proposed rows and
writes all rows of a segment in one compare-and-swap. The loss of a process that was a
member of many slots thus costs the platform's key-value service one read and one write
per segment and surviving partner, and an idle system costs nothing.

A row is only proposed by a process that the current row names (or, for slots that are
not placed or have lost all members, by one chosen process), and its epoch is the
current one plus one. A write whose response was lost is never assumed to have
succeeded: the segment is read again, and the row either contains this process's
proposal or does not.
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
RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 2.0
RESPONSE_TIMEOUT_S: Final = 5.0

_ROWS: Final = msgspec.msgpack.Decoder(list[SlotRow])


def segment_key(slot: int, segments: int) -> str:
    """Return the key of the segment that contains a slot's row."""
    return f"{SEGMENT_PREFIX}{slot % segments}"


def encode_rows(rows: dict[int, SlotRow]) -> bytes:
    """Encode a segment."""
    return msgspec.msgpack.encode([rows[slot] for slot in sorted(rows)])


def decode_rows(value: bytes) -> dict[int, SlotRow]:
    """Decode a segment; an empty value is an empty segment."""
    if not value:
        return {}
    return {row.slot: row for row in _ROWS.decode(value)}


class _Segment:
    """Proposals for one segment, and its pending call to the service."""

    def __init__(self) -> None:
        self.proposals: dict[int, SlotRow] = {}
        self.busy_until = 0.0
        self.retry_at = 0.0
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
        """Return whether a key is a segment of the table."""
        return key in self._segments

    def propose(self, row: SlotRow) -> None:
        """Propose a row until the table has a row with a later epoch."""
        key = segment_key(row.slot, self.segments)
        self._segments[key].proposals[row.slot] = row

    def withdraw(self, slot: int) -> None:
        """Withdraw a proposal; a write of it that is in progress may still succeed."""
        segment = self._segments[segment_key(slot, self.segments)]
        segment.proposals.pop(slot, None)

    def drop_superseded(self, slot: int, epoch: int) -> None:
        """Remove a proposal that the table has superseded."""
        segment = self._segments[segment_key(slot, self.segments)]
        row = segment.proposals.get(slot)
        if row is not None and row.epoch <= epoch:
            del segment.proposals[slot]

    def apply_segment(self, value: bytes) -> list[SlotRow]:
        """Apply a confirmed segment; return the rows newer than the known ones."""
        newer = []
        for slot, row in decode_rows(value).items():
            known = self.rows.get(slot)
            if known is None or row.epoch > known.epoch:
                self.rows[slot] = row
                self.drop_superseded(slot, row.epoch)
                newer.append(row)
        return newer

    def tick(self, now: float) -> list[Effect]:
        """Start a read for every segment with proposals."""
        effects: list[Effect] = []
        for key, segment in self._segments.items():
            is_idle = now >= segment.busy_until and now >= segment.retry_at
            if segment.proposals and is_idle:
                segment.busy_until = now + RESPONSE_TIMEOUT_S
                effects.append(KvRead(key))
        return effects

    def on_kv_response(self, event: Event, now: float) -> list[Effect]:
        """Continue after a response of the key-value service."""
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
        for slot, row in segment.proposals.items():
            present = rows.get(slot)
            epoch = present.epoch if present is not None else 0
            if row.epoch == epoch + 1:
                rows[slot] = row
                changed = True
        if not changed:
            segment.busy_until = 0.0
            segment.retry_at = now + RETRY_DELAY_S
            return []
        segment.busy_until = now + RESPONSE_TIMEOUT_S
        return [KvSwap(key, revision, encode_rows(rows))]

    def _back_off(self, key: str, now: float) -> None:
        """Increase the delay after each failure, with jitter.

        Many processes propose at once when a failure domain fails. Without jitter they
        would conflict again in every round.
        """
        segment = self._segments[key]
        segment.busy_until = 0.0
        segment.attempts += 1
        delay = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(segment.attempts, 10))
        jitter = hash64(self._me, key, str(segment.attempts)) % 1000 / 1000
        segment.retry_at = now + delay * (0.5 + jitter)
