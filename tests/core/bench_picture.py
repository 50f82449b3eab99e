"""Rates and processor time of the shared picture, by the production encoder.

``python -m tests.core.bench_picture`` plays some seconds of deployments in virtual time
and prints, for each kind of link, the bytes per second of the busiest one.
"""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import Final, NamedTuple

from tests.relay.picture_world import World

SIZES: Final = (
    # relays, servers, domains, keepers, requests in flight at one time
    (24, 30, 4, 10, 120),
    (27, 26, 3, 11, 200),
    (110, 230, 6, 18, 600),
    (330, 690, 6, 24, 1800),
)
PLAY_S: Final = 4.0
STEP_S: Final = 0.1
REQUEST_TOKENS: Final = 14_000


class Result(NamedTuple):
    """What one size needs.

    Attributes
    ----------
    up, down, cross : float
        Bytes per second on the busiest link from a relay, to a relay and between two
        domains.
    cross_total : float
        Bytes per second between domains, all links together.
    seen : float
        Fraction of the requests of others that relays know of.
    relay_percent, keeper_percent : float
        Processor time of a process without the codec, in percent of a core.  Medians,
        as pauses of the garbage collector of this program fall to one process each.
    """

    up: float
    down: float
    cross: float
    cross_total: float
    seen: float
    relay_percent: float
    keeper_percent: float


def play(relays: int, servers: int, domains: int, keepers: int, load: int) -> Result:
    """Play one size and return what it needs."""
    world = World(domains=domains, keepers=keepers, relays=relays, servers=servers)
    _change_load(world, load, 1.0)
    world.run(2.0)
    world.bytes_sent.clear()
    world.busy_s.clear()
    for _ in range(round(PLAY_S / STEP_S)):
        # A request lasts about a second, so a tenth of them changes in each step.
        _change_load(world, load, STEP_S)
        world.run(STEP_S)
    rates: dict[str, list[float]] = {"up": [0], "down": [0], "cross": [0]}
    for (one, other), size in world.bytes_sent.items():
        kind = "up" if one[0] == "r" else "down" if other[0] == "r" else "cross"
        rates[kind].append(size / PLAY_S)
    return Result(
        max(rates["up"]),
        max(rates["down"]),
        max(rates["cross"]),
        world.cross_domain_bytes() / PLAY_S,
        _seen_fraction(world),
        _percent(world, "r"),
        _percent(world, "k"),
    )


def _change_load(world: World, load: int, fraction: float) -> None:
    """Start and end requests so that about `load` are in flight."""
    for relay in world.relays:
        for number in list(relay.history):
            count = relay.history[number][-1][1]
            ended = sum(world.rng.random() < fraction for _ in range(count))
            if ended:
                relay.set_in_flight(number, count - ended, REQUEST_TOKENS)
            relay.history[number] = relay.history[number][-1:]
    for _ in range(round(load * fraction)):
        relay = world.rng.choice(world.relays)
        number = world.rng.randrange(world.server_count)
        count = relay.history.get(number, [(0.0, 0)])[-1][1]
        relay.set_in_flight(number, count + 1, REQUEST_TOKENS)


def _percent(world: World, kind: str) -> float:
    busy = [seconds for name, seconds in world.busy_s.items() if name[0] == kind]
    return 100 * median(busy) / PLAY_S


def _seen_fraction(world: World) -> float:
    totals: Counter[int] = Counter()
    for relay in world.relays:
        for number, history in relay.history.items():
            totals[number] += history[-1][1]
    seen = real = 0
    for relay in world.relays[:8]:
        for number, total in totals.items():
            own = relay.history.get(number, [(0.0, 0)])[-1][1]
            real += total - own
            seen += min(total - own, relay.others(number) or 0)
    return seen / real


def main() -> None:
    """Print a table."""
    print(
        "relays servers domains   up   down  cross  cross all  seen  relay % keeper %"
    )
    for size in SIZES:
        result = play(*size)
        print(
            f"{size[0]:6} {size[1]:7} {size[2]:7} {result.up:5.0f} {result.down:6.0f}"
            f" {result.cross:6.0f} {result.cross_total:10.0f} {result.seen:5.2f}"
            f" {result.relay_percent:8.2f} {result.keeper_percent:8.2f}"
        )


if __name__ == "__main__":
    main()
