"""Microbenchmarks of the decisions made per request.

The prompts for server selection have three segments.

python -m tests.core.bench
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from typing import Final

from wisteriastair.core.customers import Customer, Customers, Quota, digest_key
from wisteriastair.core.membership import Member
from wisteriastair.core.quota import QuotaBounds, QuotaHolder
from wisteriastair.platform.credentials import key_digest
from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.finish import FinishChooser, NoPicture
from wisteriastair.scheduling.fleet import Fleet, Load, Server, ServerState
from wisteriastair.scheduling.pace import ServicePace
from wisteriastair.scheduling.reuse import PromptSegment, rendezvous_server

SERVERS: Final = (23, 30, 300)
CUSTOMERS: Final = (78, 10_000)
MEMBERS: Final = 9
PROGRAMS: Final = 400
ROUNDS: Final = 20


def main() -> None:
    """Print the median times."""
    for count in SERVERS:
        print(f"one choice of {count} servers: {choice_us(count):.1f} us")
        print(
            f"one choice by finish of {count} servers: {finish_choice_us(count):.1f} us"
        )
    for count in CUSTOMERS:
        print(f"the holder of a key among {count}: {key_us(count):.2f} us")
        print(f"one permit among {count} customers: {permit_us(count):.2f} us")


def key_us(count: int) -> float:
    """Return the time to look up a request's customer by its header."""
    keys = [f"key-{number:016}" for number in range(count)]
    customers = Customers(
        (Customer(key, None, None), [digest_key(key.encode())]) for key in keys
    )
    headers = [(b"Authorization", f"Bearer {key}".encode()) for key in keys[:PROGRAMS]]

    def look_up() -> None:
        for header in headers:
            customers.find_by_digest(key_digest([header]))

    return median_us(look_up, len(headers))


def permit_us(count: int) -> float:
    """Return the time of one permit decision of a holder."""
    members = tuple(Member(f"k{n}", f"d{n}", f"k{n}:1", "d") for n in range(MEMBERS))
    names = [f"customer-{number}" for number in range(count)]
    bounds = QuotaBounds(5.0, 0.1, 20.0)
    holder = QuotaHolder(members[0], bounds, members, 0.0)
    quota = Quota(100.0, 100.0)
    holder.configure({name: Customer(name, None, quota) for name in names}, 0.0)
    requested = names[:PROGRAMS]

    def ask() -> None:
        for name in requested:
            holder.request_permit(name, "program", "kind", False, 30.0)

    return median_us(ask, len(requested))


def median_us(operation: Callable[[], None], repetitions: int) -> float:
    """Return the median time of one repetition in microseconds."""
    durations_us = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        operation()
        durations_us.append((time.perf_counter() - began) / repetitions * 1e6)
    return statistics.median(durations_us)


def choice_us(count: int) -> float:
    """Return the time of one server selection."""
    rng = random.Random(1)
    states, prompts = make_servers(count, rng)
    names = tuple(state.server.id for state in states)
    connected = frozenset(state.server.incarnation for state in states[::2])

    def choose_all() -> None:
        for prompt in prompts:
            rendezvous_id = rendezvous_server(prompt, names)
            context = SelectionContext(
                "d1", prompt, frozenset(), 20.0, connected, rendezvous_id=rendezvous_id
            )
            select_server(states, context, rng.randrange, 0.1)

    return median_us(choose_all, PROGRAMS)


def finish_choice_us(count: int) -> float:
    """Return the time of one choice by predicted finish, with affinity servers."""
    rng = random.Random(1)
    states, prompts = make_servers(count, rng)
    names = tuple(state.server.id for state in states)
    connected = frozenset(state.server.incarnation for state in states[::2])
    affinity_servers = frozenset(state.server.id for state in states[::3])
    service = ServicePace()
    chooser = FinishChooser(service, "d1", NoPicture(), rng.randrange)
    for state in states:
        pace = state.pace
        timer = pace.start(0.0, 1)
        for event in range(1, 7):
            pace.record_events(timer, 1, event * rng.uniform(0.04, 0.08))
        pace.record_stream(
            timer, service, 0.3, tokens_per_event=44, missing_tokens=2_500
        )
        pace.end(timer, 0.3)
        pace.record_others(rng.randrange(6), 0.3, service)
        pace.record_figure(rng.choice([100.0, 250.0]))
        # The own streams in flight are checked for silence.
        if rng.random() < 0.3:
            state.in_flight = 1
            pace.start(0.4, 1)

    def choose_all() -> None:
        for prompt in prompts:
            rendezvous_id = rendezvous_server(prompt, names)
            context = SelectionContext(
                "d1",
                prompt,
                frozenset(),
                20.0,
                connected,
                affinity_servers,
                rendezvous_id,
            )
            chooser.choose(states, context, 264, 0.4)

    return median_us(choose_all, PROGRAMS)


def make_servers(
    count: int, rng: random.Random
) -> tuple[list[ServerState], list[tuple[PromptSegment, ...]]]:
    """Return servers with reported load, and prompts that they have cached."""
    fleet = Fleet()
    for number in range(count):
        domain = f"d{number % 3}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, 48, False, 0.0))
    states = fleet.eligible_servers("svc", 0.0)
    shared = PromptSegment("shared", 2_500)
    prompts: list[tuple[PromptSegment, ...]] = [
        (shared, PromptSegment(f"line-{n}", 2_000), PromptSegment(f"helper-{n}", 500))
        for n in range(PROGRAMS)
    ]
    for prompt in prompts:
        rng.choice(states).cached_segments.add(prompt)
    for state in states:
        state.record_load(Load(rng.randrange(20), 0, 48), 0.0)
        state.record_success(rng.uniform(0.2, 0.6))
    return states, prompts


if __name__ == "__main__":
    main()
