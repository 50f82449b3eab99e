"""Routing and queue order, one situation per test."""

from __future__ import annotations

import pytest

from wisteriastair.core.ordering import QueuedCall, make_order
from wisteriastair.core.routing import (
    ROUTERS,
    Call,
    Candidate,
    EngineModel,
    make_router,
)
from wisteriastair.core.wire import ServerLoad

ENGINE = EngineModel(prefill_tokens_s=8_000.0, call_s=2.0, slots=8)


def call(prompt_tokens: int, *, waste_weight: float = 0.5, sequence: int = 1) -> Call:
    return Call("program", "service", prompt_tokens, waste_weight, sequence)


def server(
    name: str, *, cached: int = 0, queued: int = 0, running: int = 0, extra_s: float = 0
) -> Candidate:
    load = ServerLoad(queued, running, 0, 200_000)
    return Candidate(name, cached, load, 0, extra_s)


def chosen(call_: Call, *servers: Candidate, router: str = "cost") -> str:
    return make_router(router, ENGINE).choose(call_, list(servers)).server


def test_program_stays_where_its_prefix_is_cached() -> None:
    cached_server = server("warm", cached=20_000, running=7)
    assert chosen(call(20_500), cached_server, server("idle")) == "warm"


def test_program_moves_when_the_queue_costs_more_than_recomputing() -> None:
    cached_server = server("warm", cached=1_000, running=8, queued=40)
    assert chosen(call(1_200), cached_server, server("idle")) == "idle"


def test_waste_weight_shifts_the_point_of_moving() -> None:
    cached_server = server("warm", cached=20_000, running=8, queued=20)
    idle = server("idle")
    assert chosen(call(20_000, waste_weight=0.0), cached_server, idle) == "idle"
    assert chosen(call(20_000, waste_weight=1.0), cached_server, idle) == "warm"


def test_slow_server_is_avoided_although_its_queue_is_short() -> None:
    slow = server("slow", running=1, extra_s=6.0)
    assert chosen(call(500), slow, server("busy", running=6)) == "busy"


def test_calls_sent_since_the_last_report_count() -> None:
    stale = server("stale")._replace(sent_since=20)
    assert chosen(call(500), stale, server("busy", running=6)) == "busy"


@pytest.mark.parametrize("router", ROUTERS)
def test_every_router_chooses_the_only_server(router: str) -> None:
    only = server("only", running=8, queued=64)
    assert chosen(call(500), only, router=router) == "only"


def test_oldest_program_goes_first_within_its_priority() -> None:
    order = make_order("program")
    old = QueuedCall(5, queued_at=10.0, program_since=1.0)
    new = QueuedCall(5, queued_at=9.0, program_since=8.0)
    urgent = QueuedCall(7, queued_at=11.0, program_since=11.0)
    ordered = sorted([new, old, urgent], key=lambda w: order.key(w, 12.0))
    assert ordered == [urgent, old, new]
