"""Crowds of clients at the ports of a relay and a keeper, one crowd a test.

Each process must live, stay below the memory and descriptors of its settings, and
answer an ordinary request while the crowd keeps its connections and after it has left.
"""

from __future__ import annotations

from contextlib import closing
from pathlib import Path

import anyio
import anyio.to_thread
import pytest

from tests.crowds.crowd import (
    KB,
    MB,
    MIB,
    Crowd,
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
    KEEPER_METRICS,
    LARGE,
    MANY_FDS,
    MAX_FDS,
    READY,
    RELAY_METRICS,
    SLOW,
    check_crowds,
    crowded_relay,
    run,
)

SHORT_LINE = b"a: b\r\n"
LARGE_RESPONSE = with_length(4, 0, f"X-Kind: {LARGE}")

CROWDS = {
    "length-short": Crowd(60, with_length(4 * MIB, 10)),
    "length-short-in-pieces": Crowd(40, with_length(4 * MIB, 10), 1021),
    "length-whole": Crowd(60, with_length(4 * MIB, 0)),
    "length-whole-in-pieces": Crowd(40, with_length(4 * MIB, 0), 1021),
    "many-small-short": Crowd(1500, with_length(60 * KB, 2)),
    "chunks-large-short": Crowd(60, chunked(MB, 4 * MB)),
    "chunks-small-short": Crowd(60, chunked(16, 1600 * KB)),
    "chunks-whole": Crowd(60, chunked(64 * KB, 4 * MB, ended=True)),
    "chunk-started": Crowd(1500, started_chunk(4 * MB, 60 * KB)),
    "chunks-over-limit": Crowd(60, chunked(MB, 12 * MB)),
    "length-over-limit": Crowd(200, over_limit(0)),
    "length-over-limit-sent": Crowd(200, over_limit(MB)),
    "head-short": Crowd(1500, one_line(16 * KB)),
    "head-of-lines-short": Crowd(1500, lines(16 * KB, SHORT_LINE)),
    "pipelined-heads": Crowd(400, one_line(15 * KB, ended=True) * 9),
    "pipelined-heads-of-lines": Crowd(400, lines(15 * KB, SHORT_LINE, ended=True) * 9),
    "pipelined-bodies": Crowd(30, with_length(MIB, 0) * 9),
    "pipelined-behind-slow": Crowd(
        60, with_length(4, 0, f"X-Kind: {SLOW}") + with_length(MIB, 0) * 8
    ),
    "slow-servers": Crowd(60, with_length(2 * MIB, 0, f"X-Kind: {SLOW}")),
    "slow-servers-small": Crowd(1200, with_length(40 * KB, 0, f"X-Kind: {SLOW}")),
    "slow-readers": Crowd(40, LARGE_RESPONSE, reads=False),
    "slow-readers-pipelined": Crowd(20, LARGE_RESPONSE * 8, reads=False),
    "returning": Crowd(60, with_length(4 * MIB, 10), opens=20),
    "returning-chunks": Crowd(60, chunked(MB, 12 * MB), opens=20),
}
PROBE_CROWDS = {
    "length-short": Crowd(60, with_length(4 * MIB, 10)),
    "chunks-small-short": Crowd(60, chunked(16, 1600 * KB)),
    "many-small-short": Crowd(1500, with_length(60 * KB, 2)),
    "head-of-lines-short": Crowd(1500, lines(16 * KB, SHORT_LINE)),
}
CONNECTIONS = {
    "silent": Crowd(600, ()),
    "heads": Crowd(600, one_line(200)),
    "bodies": Crowd(600, with_length(KB, 2)),
}


@pytest.mark.parametrize("contract", CONTRACTS)
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_of_callers_is_bounded_by_memory(
    name: str, contract: str, tmp_path: Path
) -> None:
    """Guards against callers that fill the memory of a relay or take it from others."""
    check_crowds([CROWDS[name]], FRONT, tmp_path, contract=contract)


@pytest.mark.parametrize("port", [READY, RELAY_METRICS, KEEPER_METRICS])
@pytest.mark.parametrize("name", PROBE_CROWDS)
def test_a_crowd_of_probes_is_bounded_by_memory(
    name: str, port: str, tmp_path: Path
) -> None:
    """Guards against probes and scrapes that fill the memory of a process."""
    check_crowds([PROBE_CROWDS[name]], port, tmp_path)


@pytest.mark.parametrize("port", [FRONT, READY, KEEPER_METRICS])
@pytest.mark.parametrize("name", CONNECTIONS)
def test_a_crowd_of_connections_is_bounded_by_descriptors(
    name: str, port: str, tmp_path: Path
) -> None:
    """Guards against clients that take the descriptors of servers, keepers and files.

    Accepting without a free descriptor took all processor time, and probes were not
    answered, so that the platform would have taken the relay for dead.
    """
    check_crowds([CONNECTIONS[name]], port, tmp_path, max_fds=MAX_FDS)


@pytest.mark.parametrize("contract", CONTRACTS)
@pytest.mark.parametrize("name", ["length-short", "slow-servers", "slow-readers"])
def test_a_relay_stops_beside_a_crowd(name: str, contract: str, tmp_path: Path) -> None:
    """Guards against callers that keep a relay from ending when it is told to stop."""

    async def scenario() -> None:
        async with crowded_relay(tmp_path, contract, max_fds=MANY_FDS) as relay:
            with closing(relay.make_run(CROWDS[name], FRONT)) as crowd_run:
                await crowd_run.run()
                process = relay.process_at(FRONT)
                process.terminate()
                assert await anyio.to_thread.run_sync(process.wait) == 0

    run(scenario)
