"""Selection of the entries that are sent of a table."""

from __future__ import annotations

import msgspec

from wisteriastair.core.ledgerwire import PictureBlock, unpack_loads
from wisteriastair.scheduling.blocks import (
    MAX_BLOCKS,
    OVERHEAD_BYTES,
    BlockStream,
    HealthSum,
    LoadSum,
)

INTERVAL_S = 0.25
RATE = 2000.0
DECODER = msgspec.msgpack.Decoder(PictureBlock)


def last_block(stream: BlockStream, now: float) -> PictureBlock:
    return DECODER.decode(stream.since(stream.number - 1, now)[-1].block)


def table(count: int, in_flight: int = 1) -> dict[int, LoadSum]:
    return {n: LoadSum(in_flight, 1, 0.0) for n in range(count)}


def test_a_block_stays_within_its_bytes() -> None:
    """A table of 690 servers must not fill the link of a small relay."""
    stream = BlockStream(INTERVAL_S, RATE)
    failing = {n: HealthSum(200, 200, 200, 200, 0.0) for n in range(690)}
    total = 0
    for n in range(20):
        now = INTERVAL_S * n
        stream.make_block(table(690, n), failing, now)
        total += len(bytes(stream.since(stream.number - 1, now)[-1].block))
        total += OVERHEAD_BYTES
    assert total <= RATE * 20 * INTERVAL_S


def test_all_entries_are_sent_in_turn() -> None:
    stream = BlockStream(INTERVAL_S, RATE)
    sent: set[int] = set()
    for n in range(16):
        now = INTERVAL_S * n
        stream.make_block(table(690), {}, now)
        sent |= {load.server for load in unpack_loads(last_block(stream, now).loads)}
    assert sent == set(range(690))


def test_changed_entries_are_sent_first() -> None:
    stream = BlockStream(INTERVAL_S, RATE)
    for n in range(16):
        stream.make_block(table(690), {}, INTERVAL_S * n)
    changed = table(690) | {300: LoadSum(9, 1, 0.0)}
    stream.make_block(changed, {}, 4.0)
    first = unpack_loads(last_block(stream, 4.0).loads)[0]
    assert (first.server, first.in_flight) == (300, 9)


def test_an_entry_that_is_gone_is_sent_as_zero_once() -> None:
    stream = BlockStream(INTERVAL_S, RATE)
    stream.make_block(table(1), {}, 0.0)
    stream.make_block({}, {}, 0.25)
    (load,) = unpack_loads(last_block(stream, 0.25).loads)
    assert (load.server, load.in_flight) == (0, 0)
    stream.make_block({}, {}, 0.5)
    assert last_block(stream, 0.5).loads == b""


def test_a_receiver_that_asks_rarely_gets_the_last_blocks() -> None:
    stream = BlockStream(INTERVAL_S, RATE)
    for n in range(10):
        stream.make_block(table(1), {}, INTERVAL_S * n)
    blocks = stream.since(0, 2.25)
    assert len(blocks) == MAX_BLOCKS
    assert [round(aged.age_s, 2) for aged in blocks] == [0.75, 0.5, 0.25, 0.0]
    assert stream.since(stream.number, 2.25) == []
