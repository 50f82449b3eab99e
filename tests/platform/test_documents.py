"""Decoding of the entries of backend servers, valid and invalid ones."""

from __future__ import annotations

import json

import pytest

from wisteriastair.core.membership import View
from wisteriastair.platform.credentials import replace_keys_with_digests
from wisteriastair.platform.documents import (
    InvalidDocument,
    decode_config,
    decode_server,
    decode_view,
)
from wisteriastair.platform.quarantine import apply_record, quarantine_key
from wisteriastair.scheduling.crashes import CrashTable
from wisteriastair.scheduling.fleet import Server

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
    fields = {name: value for name, value in entry.items() if value is not ...}
    return decode_server(KEY, json.dumps(fields).encode())


def test_a_valid_entry_decodes_to_a_server() -> None:
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
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"born": 1.5},
        {"born": "1780000000123"},
        {"born": True},
        {"coldLeftMs": "soon"},
    ],
    ids=str,
)
def test_an_invalid_entry_is_rejected(changes: dict[str, object]) -> None:
    server = decoded(**changes)
    assert isinstance(server, InvalidDocument)
    assert server.key == KEY and server.reason


@pytest.mark.parametrize("value", [b"", b"\xff\xfe\x00", b"[]", b"null", b'{"service'])
def test_invalid_json_is_rejected(value: bytes) -> None:
    assert isinstance(decode_server(KEY, value), InvalidDocument)


@pytest.mark.parametrize("field", [b"unknown", b"routes", b"service"])
def test_deeply_nested_document_is_rejected(field: bytes) -> None:
    """Its decoding exceeds the recursion limit, which ended each process that read it.

    Every process watches the same document, and reads it again after its restart.
    """
    depth = 100_000
    value = b'{"' + field + b'":' + b"[" * depth + b"]" * depth + b"}"
    assert isinstance(decode_server(KEY, value), InvalidDocument)
    assert isinstance(decode_config(value), InvalidDocument)
    assert isinstance(decode_view(value), InvalidDocument)
    assert replace_keys_with_digests(value) == b""
    table = CrashTable()
    apply_record(table, quarantine_key(bytes(16)), value, 0.0)
    assert len(table) == 0


def test_view_that_does_not_decode_is_rejected() -> None:
    assert isinstance(decode_view(b'["x"]'), InvalidDocument)
    assert decode_view(b"[3]") == View(3)
