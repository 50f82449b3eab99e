"""Servers whose heads and bodies have no end: memory, time and other callers' delay."""

from __future__ import annotations

import contextlib
import time
from typing import NamedTuple

import anyio
import psutil
import pytest

from tests.relay.flooding import BODIES, FORMS, flooding_server
from tests.relay.harness import MEMORY_BYTES, Caller, RelayHarness, run_harness
from wisteriastair.http1.messages import LAST_CHUNK
from wisteriastair.scheduling.buffers import RESTING_BYTES
from wisteriastair.scheduling.fleet import Server

# Of the routes of the harness; a configuration must be kept to within this margin.
TIMEOUT_S = 2.0
TIMEOUT_MARGIN_S = 0.5
# Target of the design for the first token.
FIRST_TOKEN_TARGET_S = 0.58
MAX_GROWTH_BYTES = MEMORY_BYTES - RESTING_BYTES
FLOODED_REQUESTS = 8
MANY_REQUESTS = 40
KINDS = ("safe", "unsafe", "turn", "talk")
TOKEN_USAGE = "10,500"


class Reply(NamedTuple):
    """Status of a response, and whether it was complete."""

    status: int
    is_complete: bool


class Seen(NamedTuple):
    """What callers and the operating system have seen of a relay.

    Attributes
    ----------
    replies : list of Reply
        What answered the requests whose response has no end.
    longest_s : float
        Seconds until the last of them.
    other_latencies_s : list of float
        Seconds for each other request, sent one after the other meanwhile.
    growth_bytes : int
        Growth of the resident memory.
    """

    replies: list[Reply]
    longest_s: float
    other_latencies_s: list[float]
    growth_bytes: int


async def read_reply(caller: Caller) -> Reply:
    """Read a response until the end or the close of the connection, and discard it."""
    first = await caller.reader.readuntil(b"\r\n\r\n")
    status = int(first.split(b" ")[1])
    if b"chunked" not in first:
        return Reply(status, is_complete=True)
    last = b""
    with contextlib.suppress(ConnectionError):
        while data := await caller.reader.read(1 << 16):
            last = (last + data)[-len(LAST_CHUNK) :]
            if last == LAST_CHUNK:
                return Reply(status, is_complete=True)
    return Reply(status, is_complete=False)


async def observe(
    harness: RelayHarness, kind: str, token_usage: str, requests: int
) -> Seen:
    replies: list[Reply] = []
    latencies: list[float] = []
    process = psutil.Process()
    resting_bytes = peak_bytes = process.memory_info().rss
    started_at = time.monotonic()

    async def flooded(number: int) -> None:
        caller = await harness.open()
        headers = {"X-Token-Usage": token_usage} if token_usage else {}
        await caller.send(kind, f"flood-{number}", **headers)
        replies.append(await read_reply(caller))

    async with anyio.create_task_group() as group:
        for number in range(requests):
            group.start_soon(flooded, number)
        while len(replies) < requests:
            sent_at = time.monotonic()
            with anyio.fail_after(30):
                reply = await harness.request("unsafe", f"other-{len(latencies)}")
            latencies.append(time.monotonic() - sent_at)
            assert (reply.status, reply.body) == (200, b"fine")
            peak_bytes = max(peak_bytes, process.memory_info().rss)
            await anyio.sleep(0.01)
    return Seen(
        replies,
        time.monotonic() - started_at,
        latencies,
        peak_bytes - resting_bytes,
    )


def play(
    form: str,
    kind: str,
    *,
    trickle: bool = False,
    token_usage: str = TOKEN_USAGE,
    requests: int = FLOODED_REQUESTS,
) -> Seen:
    async def main(address: str) -> Seen:
        async with run_harness() as harness:
            harness.fleet.put(Server("s1", "svc", address, "d", 64, False, 0.0))
            # Pools, buffers and modules of the first request.
            assert (await harness.request("unsafe", "first")).status == 200
            return await observe(harness, kind, token_usage, requests)

    with flooding_server(form, trickle=trickle) as address:
        return anyio.run(main, address)


def check(seen: Seen) -> None:
    assert seen.growth_bytes < MAX_GROWTH_BYTES
    assert max(seen.other_latencies_s) < FIRST_TOKEN_TARGET_S
    assert seen.longest_s < TIMEOUT_S + TIMEOUT_MARGIN_S
    # Nothing looks like a complete success.
    assert not any(reply.status == 200 and reply.is_complete for reply in seen.replies)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("form", FORMS)
def test_a_response_without_end_costs_little(form: str, kind: str) -> None:
    """Guards against a server that fills the memory of a relay, or takes its time."""
    check(play(form, kind))


@pytest.mark.parametrize("kind", ["turn", "talk"])
@pytest.mark.parametrize("form", [form for form in BODIES if "event" in form])
def test_events_without_end_cost_little_if_any_number_is_expected(
    form: str, kind: str
) -> None:
    """Guards against the same where the caller has named no number of tokens."""
    check(play(form, kind, token_usage=""))


@pytest.mark.parametrize(
    "form, kind",
    [
        ("header-lines", "unsafe"),
        ("interim-responses", "turn"),
        ("small-chunks", "safe"),
        ("length", "unsafe"),
        ("trailer-lines", "safe"),
        ("late-response", "turn"),
        ("event", "talk"),
        ("comments", "turn"),
    ],
)
def test_a_slow_response_without_end_ends_at_the_timeout(form: str, kind: str) -> None:
    """Guards against a server that holds a request with a few bytes now and then."""
    check(play(form, kind, trickle=True))


def test_responses_without_end_share_one_budget() -> None:
    """Guards against many responses that together fill the memory of a relay.

    Each of them is below the maximum size of a response.
    """
    seen = play("length", "unsafe", requests=MANY_REQUESTS)
    check(seen)


@pytest.mark.parametrize("tokens, events", [(500, 20), (510, 21)])
def test_a_turn_gets_no_more_events_than_it_asked_for(tokens: int, events: int) -> None:
    """Guards against a server that exceeds the token budget of a program.

    One event of the harness has 25 tokens, and one without tokens may mark the end.
    """

    async def main(address: str) -> bytes:
        async with run_harness() as harness:
            harness.fleet.put(Server("s1", "svc", address, "d", 64, False, 0.0))
            caller = await harness.open()
            await caller.send("turn", "flood", **{"X-Token-Usage": f"10,{tokens}"})
            with anyio.fail_after(TIMEOUT_S):
                return await caller.reader.read(-1)

    with flooding_server("events") as address:
        assert anyio.run(main, address).count(b"data: x") == events + 1
