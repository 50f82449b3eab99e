"""Seeded workloads of the two users.

The Office runs short appraisals with tool pauses and a missing-piece sub-agent, on 6
model servers and 6 plain servers in three failure domains.  Ben Ammar runs long
negotiations that read a large rights chain again in every turn and branch by territory,
on 5 model servers and 4 plain servers in four failure domains.  Lengths and pauses are
lognormal.
"""

from __future__ import annotations

from math import exp
from random import Random
from typing import Final, NamedTuple

from ..core.config import Service, Tool
from .script import BYTES_PER_TOKEN
from .virtual_parts import VirtualServer

OFFICE_MODEL: Final = "jigsaw-7b@3"
LABEL_MODEL: Final = "lyric-13b@2"
RIGHTS_CHAINS: Final = 40
RIGHTS_CHAIN_TOKENS: Final = 9_000
OFFICE_PREFIX_TOKENS: Final = 1_500
MAX_NEGOTIATION_TURNS: Final = 60
CUSTOMERS: Final = 20


class Arrival(NamedTuple):
    """The arrival of one program: time in seconds, customer, key and prompt."""

    arrival_s: float
    customer: str
    key: str
    prompt: str


class Workload(NamedTuple):
    """Servers, service and tool pauses of a user."""

    name: str
    servers: tuple[VirtualServer, ...]
    service: Service
    pause_median_s: float
    pause_sigma: float


def office_workload() -> Workload:
    """Return the Office's workload."""
    domains = ("chingeltei", "bayanzurkh", "khan-uul")
    return Workload(
        "office",
        _servers(domains, 6, OFFICE_MODEL, 6, ("listings", "swaps")),
        Service(
            "appraisal",
            budget=400_000,
            priority=7,
            models=(OFFICE_MODEL,),
            waste_weight=0.2,
            tools=(Tool("find", "listings", True), Tool("reserve", "swaps", False)),
        ),
        pause_median_s=0.8,
        pause_sigma=1.0,
    )


def label_workload() -> Workload:
    """Return Ben Ammar's workload."""
    domains = ("lac", "medina", "ariana", "charguia")
    return Workload(
        "ben-ammar",
        _servers(domains, 5, LABEL_MODEL, 4, ("rights", "grants")),
        Service(
            "negotiation",
            budget=20_000_000,
            models=(LABEL_MODEL,),
            wall_s=3_600.0,
            waste_weight=0.8,
            tools=(Tool("chain", "rights", True), Tool("grant", "grants", False)),
        ),
        pause_median_s=1.5,
        pause_sigma=1.2,
    )


def _servers(
    domains: tuple[str, ...],
    models: int,
    model: str,
    plain: int,
    providers: tuple[str, ...],
) -> tuple[VirtualServer, ...]:
    servers = [
        VirtualServer(f"model-{n}", "model", (model,), domains[n % len(domains)])
        for n in range(models)
    ]
    servers += [
        VirtualServer(f"plain-{n}", "plain", providers, domains[n % len(domains)])
        for n in range(plain)
    ]
    return tuple(servers)


def generate_arrivals(
    workload: Workload, rate_per_s: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals of programs at a mean rate."""
    random = Random(seed)
    make_prompt = (
        _appraisal_prompt if workload.name == "office" else _negotiation_prompt
    )
    result: list[Arrival] = []
    arrival_s = random.expovariate(rate_per_s)
    while arrival_s < seconds:
        number = len(result)
        customer = f"customer-{_draw_skewed(random, CUSTOMERS)}"
        result.append(
            Arrival(arrival_s, customer, f"k{number}", make_prompt(random, number))
        )
        arrival_s += random.expovariate(rate_per_s)
    return result


def _draw_skewed(random: Random, count: int) -> int:
    """Draw a number below ``count``; small numbers are much more frequent."""
    return int(count * random.random() ** 2)


def draw_lognormal(random: Random, median: float, sigma: float) -> float:
    """Draw from a lognormal distribution."""
    return median * exp(random.gauss(0.0, sigma))


def _filler_text(tag: str, tokens: int) -> str:
    """Return a text of about this many tokens."""
    return (f"{tag} " * (tokens * BYTES_PER_TOKEN // (len(tag) + 1) + 1)).strip()


def _appraisal_prompt(random: Random, number: int) -> str:
    steps = [f"tool find {number}-{n}" for n in range(random.choice((1, 1, 2, 3)))]
    if random.random() < 0.5:
        steps.append(f"spawn Check the missing-piece list of {number}. words=20")
    if random.random() < 0.4:
        steps.append(f"tool reserve {number}")
    words = int(min(400, max(10, draw_lognormal(random, 40, 0.7))))
    description = _filler_text(f"puzzle{number}", int(draw_lognormal(random, 300, 0.8)))
    return (
        f"shared: {_filler_text('office', OFFICE_PREFIX_TOKENS)}\n{description}\n"
        f"plan: {' | '.join(steps)}\nstepwords=15 words={words}"
    )


def _negotiation_prompt(random: Random, number: int) -> str:
    chain = _draw_skewed(random, RIGHTS_CHAINS)
    turns = int(min(MAX_NEGOTIATION_TURNS, max(2, draw_lognormal(random, 8, 0.9))))
    steps = []
    for turn in range(turns):
        if turn and turn % 7 == 0:
            steps.append(f"spawn Negotiate {number} A. & spawn Negotiate {number} B.")
        else:
            steps.append(f"tool chain {number}-{turn}")
    steps.append(f"tool grant {number}")
    return (
        f"shared: {_filler_text(f'chain{chain}', RIGHTS_CHAIN_TOKENS)}\n"
        f"label {number}\nplan: {' | '.join(steps)}\nstepwords=25 words=60"
    )
