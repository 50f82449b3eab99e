"""Entries of backend servers, as other writers may leave them in the store."""

from __future__ import annotations

import json

import pytest

from wisteriastair.core.fleet import Server
from wisteriastair.platform.documents import InvalidDocument, decode_server

KEY = "servers/i-1"
ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 1500,
    "seq": 4,
    "born": 1_780_000_000_123,
}


def decoded(**changes: object) -> Server | InvalidDocument:
    entry = ENTRY | changes
    kept = {name: value for name, value in entry.items() if value is not ...}
    return decode_server(KEY, json.dumps(kept).encode())


def test_a_whole_entry_names_one_start_of_a_server() -> None:
    server = decoded()
    assert server == Server(
        "i-1", "svc", "10.0.0.1:80", "z1", 8, False, 1.5, 1_780_000_000_123
    )
    assert decoded(state="draining") == server._replace(draining=True)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": ...},
        {"address": ...},
        {"zone": ...},
        {"slots": ...},
        {"state": ...},
        {"slots": "8"},
        {"slots": 0},
        {"state": "retired"},
        {"state": 1},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:http"},
        {"address": 80},
        {"born": 1.5},
        {"born": "1780000000123"},
        {"born": True},
        {"coldLeftMs": "soon"},
    ],
    ids=str,
)
def test_an_entry_that_is_not_whole_names_no_server(changes: dict[str, object]) -> None:
    server = decoded(**changes)
    assert isinstance(server, InvalidDocument)
    assert server.key == KEY and server.reason


@pytest.mark.parametrize("value", [b"", b"\xff\xfe\x00", b"[]", b"null", b'{"service'])
def test_bytes_that_cannot_be_read_name_no_server(value: bytes) -> None:
    assert isinstance(decode_server(KEY, value), InvalidDocument)
