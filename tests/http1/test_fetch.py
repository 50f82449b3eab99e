"""Clients of servers and of the store whose responses have no end, or are no text."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import anyio
import psutil
import pytest

from tests.relay.flooding import HOST, flooding_server
from wisteriastair.core.events import KvUnknown
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.core.wire import CallId, GateCall
from wisteriastair.engines import client as engines
from wisteriastair.engines.client import make_engine
from wisteriastair.platform import instances, kv, store
from wisteriastair.platform.instances import make_instance_list
from wisteriastair.platform.kv import make_key_value_store
from wisteriastair.platform.store import HistoryExpired, Store, StoreError
from wisteriastair.services.client import MAX_RESPONSE_BYTES, make_plain_service

TIMEOUT_S = 1.0
MAX_TRANSFER_S = 0.5
# Time for the connection and for closing it.
TIMEOUT_MARGIN_S = 1.0
FIRST_TOKEN_TARGET_S = 0.58
# The largest response, twice while it is copied, and as much for allocation.
MAX_GROWTH_BYTES = 4 * 16 * 1024 * 1024
LAG_INTERVAL_S = 0.01
FORMS = (
    "header-lines",
    "long-value",
    "interim-responses",
    "length",
    "large-chunks",
    "small-chunks",
    "long-chunk-extension",
    "long-trailer",
    "event",
    "events",
)


def make_call(name: str = "op") -> GateCall:
    return GateCall(
        CallId("p", 1, 1),
        slot=0,
        epoch=1,
        gate="g",
        server="s",
        kind="tool",
        name=name,
        body="{}",
        offset=0,
        repeatable=False,
        max_tokens=10,
        priority=0,
        age_s=0.0,
        prompt_tokens=1,
        timeout_s=TIMEOUT_S,
        issued_at=0.0,
        trace="",
    )


async def call_service(address: str) -> bool:
    service = make_plain_service(f"http://{address}")
    ended = await service.run(make_call())
    await service.close()
    return ended.status == "lost" and ended.ran == "unknown"


async def call_engine(address: str) -> bool:
    engine = make_engine(f"http://{address}")
    ended = await engine.run(make_call(), lambda text: None)
    await engine.close()
    return ended.status == "lost" and ended.ran == "unknown"


async def list_cached_programs(address: str) -> bool:
    engine = make_engine(f"http://{address}")
    programs = await engine.cached_programs()
    is_released = await engine.release(("p",))
    await engine.close()
    return programs is None and not is_released


async def read_key(address: str) -> bool:
    key_value = make_key_value_store(f"http://{address}")
    outcome = await key_value.read("k")
    await key_value.close()
    return isinstance(outcome, KvUnknown)


async def list_instances(address: str) -> bool:
    instance_list = make_instance_list(f"http://{address}")
    rows = await instance_list.read()
    await instance_list.close()
    return rows is None


async def list_keys(address: str) -> bool:
    client = Store(address, make_store_timeouts(0.0))
    outcome = await client.list_all("")
    await client.close()
    return isinstance(outcome, StoreError)


async def watch_keys(address: str) -> bool:
    client = Store(address, make_store_timeouts(0.0))
    outcome = await client.watch("", 1, 0.2)
    await client.close()
    return isinstance(outcome, StoreError | HistoryExpired)


# What each client does, and the seconds of its timeouts.
CLIENTS: dict[str, tuple[Callable[[str], Awaitable[bool]], float]] = {
    f.__name__: (f, timeout_s)
    for f, timeout_s in (
        (call_service, TIMEOUT_S),
        (call_engine, TIMEOUT_S),
        (list_cached_programs, 2 * TIMEOUT_S),
        (read_key, kv.CALL_TIMEOUT_S),
        (list_instances, TIMEOUT_S),
        (list_keys, TIMEOUT_S + MAX_TRANSFER_S),
        (watch_keys, TIMEOUT_S + MAX_TRANSFER_S),
    )
}


async def measure_lag(lags: list[float]) -> None:
    while True:
        started_at = time.monotonic()
        await anyio.sleep(LAG_INTERVAL_S)
        lags.append(time.monotonic() - started_at - LAG_INTERVAL_S)


async def check(address: str, name: str) -> None:
    client, timeout_s = CLIENTS[name]
    process = psutil.Process()
    resting_bytes = process.memory_info().rss
    lags: list[float] = []
    async with anyio.create_task_group() as group:
        group.start_soon(measure_lag, lags)
        started_at = time.monotonic()
        assert await client(address)
        took_s = time.monotonic() - started_at
        await anyio.sleep(2 * LAG_INTERVAL_S)
        group.cancel_scope.cancel()
    assert took_s < timeout_s + TIMEOUT_MARGIN_S
    assert max(lags) < FIRST_TOKEN_TARGET_S
    assert process.memory_info().rss - resting_bytes < MAX_GROWTH_BYTES


def shorten_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engines, "STALL_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(instances, "CALL_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(store, "MAX_TRANSFER_S", MAX_TRANSFER_S)


@pytest.mark.parametrize("name", CLIENTS)
@pytest.mark.parametrize("form", FORMS)
def test_a_response_without_end_is_given_up(
    form: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against servers, and a store, that fill the memory of a process."""
    shorten_timeouts(monkeypatch)
    with flooding_server(form) as address:
        anyio.run(check, address, name)


@pytest.mark.parametrize("name", CLIENTS)
@pytest.mark.parametrize("form", ["header-lines", "length", "events"])
def test_a_slow_response_without_end_is_given_up(
    form: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that go on as long as some bytes arrive now and then."""
    shorten_timeouts(monkeypatch)
    with flooding_server(form, trickle=True) as address:
        anyio.run(check, address, name)


async def call_with_response(response: bytes) -> tuple[str, str]:
    """Return status and text of a call that is answered with some bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    service = make_plain_service(f"http://{HOST}:{port}")
    ended = await service.run(make_call())
    await service.close()
    listener.close()
    return ended.status, ended.text


@pytest.mark.parametrize(
    "parameter, body, text",
    [
        ("", "ü".encode(), "ü"),
        ("charset=utf-8", b"\xff", "\ufffd"),
        ('charset="ISO-8859-1"', b"\xfc", "ü"),
        ("charset=hex", b"ab", "ab"),
        ("charset=zlib", b"ab", "ab"),
        ("charset=idna", b"ab\xff", "ab\ufffd"),
        ("charset=undefined", b"ab", "ab"),
        ("charset=punycode", b"ab-cd", "ab-cd"),
        ("charset*=utf-8''%00", b"ab", "ab"),
        ("charset", b"ab", "ab"),
    ],
    ids=repr,
)
def test_the_text_of_a_response_in_any_charset(
    parameter: str, body: bytes, text: str
) -> None:
    """Guards against a charset for which decoding raises and ends the process."""
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/plain; {parameter}\r\n"
    response = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    assert anyio.run(call_with_response, response) == ("ok", text)


def test_an_encoded_response_is_not_expanded() -> None:
    """Guards against a small response that expands to a large body."""
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n"
    assert anyio.run(call_with_response, head + b"ab") == ("lost", "")


def test_a_response_of_the_maximum_size_is_read() -> None:
    body = b"x" * MAX_RESPONSE_BYTES
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    status, text = anyio.run(call_with_response, head + body)
    assert (status, len(text)) == ("ok", MAX_RESPONSE_BYTES)
