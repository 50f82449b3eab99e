"""Time of one choice of a server, with 30 servers and a prompt of three parts.

python -m tests.core.bench
"""

from __future__ import annotations

import random
import statistics
import time
from typing import Final

from wisteriastair.core.choice import Want, choose
from wisteriastair.core.fleet import Fleet, Load, Server
from wisteriastair.core.reuse import PromptPart, agreed_server

SERVERS: Final = 30
PROGRAMS: Final = 400
ROUNDS: Final = 20


def main() -> None:
    """Print the median of some rounds, in microseconds."""
    draw = random.Random(1)
    fleet = Fleet()
    for number in range(SERVERS):
        domain = f"d{number % 3}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, 48, False, 0.0))
    states = fleet.usable("svc", 0.0)
    names = tuple(state.server.id for state in states)
    shared = PromptPart("shared", 2_500)
    prompts = [
        (shared, PromptPart(f"line-{n}", 2_000), PromptPart(f"helper-{n}", 500))
        for n in range(PROGRAMS)
    ]
    for prompt in prompts:
        draw.choice(states).parts.note(prompt)
    for state in states:
        state.take_load(Load(draw.randrange(20), 0, 48), 0.0)
        state.succeeded(draw.uniform(0.2, 0.6))
    connected = frozenset(state.server.start for state in states[::2])
    took = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for prompt in prompts:
            agreed = agreed_server(prompt, names)
            want = Want("d1", prompt, frozenset(), 20.0, connected, agreed=agreed)
            choose(states, want, draw.randrange, 0.1)
        took.append((time.perf_counter() - began) / PROGRAMS * 1e6)
    print(f"one choice of {SERVERS} servers: {statistics.median(took):.1f} us")


if __name__ == "__main__":
    main()
