"""The bound on servers of a request, whatever relays know of each other."""

from __future__ import annotations

import os

import anyio
import pytest

from tests.relay.request_cases import RequestWorld, make_case

MAX_SERVERS = 3
# More seeds by hand: REQUEST_SEEDS=500.
SEEDS = int(os.environ.get("REQUEST_SEEDS", "48"))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_request_reaches_no_fourth_server(seed: int) -> None:
    """Attempts at several relays are sent before these know of each other."""
    case = make_case(seed)
    world = RequestWorld(case)
    anyio.run(world.run)
    assert len(set(world.readers)) <= MAX_SERVERS, f"{case} {world.readers}"
