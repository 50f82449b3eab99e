"""Crowds drawn from a seed: forms, sizes, paces and points of stop at several ports.

Three crowds come at once to a port, and others follow them while they stay.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from tests.crowds.crowd import (
    KB,
    MB,
    Crowd,
    Form,
    chunked,
    lines,
    one_line,
    over_limit,
    started_chunk,
    with_length,
)
from tests.crowds.relays import (
    CONTRACTS,
    FRONT,
    READY,
    RELAY_METRICS,
    SLOW,
    check_crowds,
)

SEEDS = range(1, 9)
CROWDS_AT_ONCE = 3
# Each crowd sends about this much; the processes may hold far less.
CROWD_BYTES = 120 * MB
MAX_CONNECTIONS = 500


def draw_form(rng: random.Random) -> tuple[Form, int]:
    """Return a form and about how many bytes it has."""
    size = int(10 ** rng.uniform(3.5, 6.6))
    short = rng.choice((0, 1, 10, size // 2))
    kind = rng.choice(("fast", SLOW))
    shape = rng.randrange(7)
    if shape <= 1:
        return with_length(size, short, f"X-Kind: {kind}"), size
    if shape == 2:
        chunk = min(size, int(10 ** rng.uniform(0.5, 6)))
        return chunked(chunk, size, ended=not short), size
    if shape == 3:
        return started_chunk(4 * MB, size), size
    if shape == 4:
        size = rng.randrange(300, 16 * KB)
        line = rng.choice((b"a: b\r\n", b"abc: " + b"d" * 60 + b"\r\n"))
        return lines(size, line, ended=not short) * (1 if short else 8), 8 * size
    if shape == 5:
        size = rng.randrange(300, 16 * KB)
        return one_line(size, ended=not short) * (1 if short else 8), 8 * size
    return over_limit(size), size


def draw_crowd(rng: random.Random) -> Crowd:
    """Return a crowd with any form, size and pace."""
    form, size = draw_form(rng)
    connections = max(20, min(MAX_CONNECTIONS, CROWD_BYTES // size))
    # Writes of few bytes take long on the sender's side.
    write_bytes = rng.choice((0, 0, 1021, 16 * KB)) if size > 10 * KB else 0
    return Crowd(connections, form, write_bytes, opens=rng.choice((1, 1, 5)))


@pytest.mark.parametrize("contract", CONTRACTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_generated_crowds_are_bounded(seed: int, contract: str, tmp_path: Path) -> None:
    """Guards against forms, and mixes of them, that nobody has thought of."""
    rng = random.Random(seed)
    port = rng.choice((FRONT, FRONT, FRONT, READY, RELAY_METRICS))
    crowds = [draw_crowd(rng) for _ in range(CROWDS_AT_ONCE)]

    check_crowds(crowds, port, tmp_path, contract=contract)
