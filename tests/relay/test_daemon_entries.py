"""What a relay does with the entries of servers that its store client reports."""

from __future__ import annotations

import json

import anyio
import pytest

from wisteriastair.nodeoptions import NodeOptions
from wisteriastair.platform.store import StoreItem
from wisteriastair.relay.daemon import Relay

OPTIONS = NodeOptions(
    name="front-1",
    ip_address="127.0.0.1",
    domain="d",
    internal_port=7380,
    store_address="127.0.0.1:1",
    caller_address="127.0.0.1:2",
    ready_address="127.0.0.1:3",
    data_dir="",
    memory_bytes=150_000_000,
    max_failures=1,
    is_first_start=True,
    grace_s=8.0,
    drain_s=2.0,
    settle_deadline_s=1.0,
    config_deadline_s=2.0,
    contact_s=3.0,
    seeds=(),
)


@pytest.mark.parametrize("age_s", [0.0, 0.6, 1.1])
def test_last_server_is_used_no_longer_if_the_end_of_its_entry_is_learned_late(
    age_s: float,
) -> None:
    """The only server of a service leaves, and the relay learns it after a second.

    It was used for another second from then on, and had ended before that.
    """

    async def main() -> None:
        relay = Relay(OPTIONS)
        entry = {
            "service": "svc",
            "address": "127.0.0.1:9",
            "zone": "d",
            "slots": 8,
            "state": "ready",
        }
        relay._on_item(StoreItem("servers/s1", 1, json.dumps(entry).encode()))
        relay._mirror.age_s = lambda: age_s  # type: ignore[method-assign]
        now = anyio.current_time()
        relay._on_item(StoreItem("servers/s1", 2, None))
        fleet = relay._fleet
        left_s = max(0.0, OPTIONS.drain_s / 2 - age_s)
        assert bool(fleet.eligible_servers("svc", now + 0.9 * left_s)) == (left_s > 0)
        assert not fleet.eligible_servers("svc", now + left_s + 0.05)

    anyio.run(main)
