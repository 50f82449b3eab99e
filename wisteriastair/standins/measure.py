"""Measurements for docs/CAPACITY.md, with real processes on this machine.

Each part prints its figures and names what was varied: first-token overhead against
calling the engine directly, the cost of a daemon at rest as daemons grow in number,
the time until a configuration is in force everywhere, the platform's calls at rest
and per failure, the time from a kill to the next step, and the memory of a program by
the length of its history.
"""

from __future__ import annotations

import time
import tomllib
import tracemalloc
from collections.abc import Callable
from functools import partial
from statistics import median, quantiles
from typing import Any, Final

import anyio
import httpx
import psutil

from ..core.config import Service
from ..core.program import Program
from ..core.records import (
    Action,
    CallEnded,
    CallIntended,
    Limits,
    ProgramStarted,
    encode_record,
)
from ..core.slotlog import SlotLog
from .deployment import CALLER_TOKEN, Deployment, default_folder

REST_S: Final = 10.0
QUIET_S: Final = 6.0
SETTLE_TRIES: Final = 20
PAIRS: Final = 60
TURNS: Final = 65
WORKERS: Final = 40
TIMEOUT_S: Final = 30.0
MEGABYTE: Final = 1e6
BASE: Final = """
name = "measure"
domains = ["lac", "medina", "ariana"]
customer = "labels"
commands = [
  "declare server m1 kind model serves lyric@1",
  "create service s budget 4000000 models lyric@1",
]
servers = [{ name = "m1", kind = "model", models = ["lyric@1"], domain = "lac", args = ["--decode-tokens-s", "400"] }]
"""  # noqa: E501


def _deployment(name: str, sides: int, slots: int) -> Deployment:
    """Start a deployment with so many side processes, one of them with an engine."""
    deployment = Deployment(tomllib.loads(BASE), default_folder() / name)
    deployment.slots = slots
    deployment.extra_bare_sides = sides - 1
    deployment.start(entries=2)
    deployment.wait_revision(deployment.configure())
    return deployment


def _usage(deployment: Deployment, role: str) -> list[tuple[float, float]]:
    """Processor seconds and resident megabytes of each process of a role."""
    found = []
    for process in deployment.processes.values():
        if process.name.startswith(role):
            info = psutil.Process(process.popen.pid)
            times = info.cpu_times()
            rss = info.memory_info().rss / MEGABYTE
            found.append((times.user + times.system, rss))
    return found


def _metric(deployment: Deployment, role: str, name: str) -> float:
    """Sum of a metric over the processes of a role."""
    total = 0.0
    for process in deployment.processes.values():
        if not process.name.startswith(role):
            continue
        text = httpx.get(f"http://{process.http}/metrics").text
        for line in text.splitlines():
            if line.startswith(f"wisteriastair_{name} "):
                total += float(line.split(" ")[1])
    return total


def _settle(deployment: Deployment) -> None:
    """Wait until slots have stopped moving: no write for a while."""
    seen = -1
    for _ in range(SETTLE_TRIES):
        writes = deployment.records(deployment.platform_url)["counts"]["writes"]
        if writes == seen:
            return
        seen = writes
        time.sleep(QUIET_S)


def _report_rest(deployment: Deployment, sides: int) -> None:
    """Print what daemons cost at rest."""
    counts = deployment.records(deployment.platform_url)["counts"]
    sent = _metric(deployment, "side", "peer_bytes_sent_total")
    before = _usage(deployment, "side")
    entries = _usage(deployment, "entry")
    time.sleep(REST_S)
    after = _usage(deployment, "side")
    entries_after = _usage(deployment, "entry")
    sent = _metric(deployment, "side", "peer_bytes_sent_total") - sent
    later = deployment.records(deployment.platform_url)["counts"]
    cpu = median((b[0] - a[0]) / REST_S for a, b in zip(before, after, strict=True))
    rss = median(b[1] for b in after)
    calls = {k: later[k] - counts[k] for k in ("reads", "writes", "watches")}
    entry_cpu = (entries_after[0][0] - entries[0][0]) / REST_S
    print(f"  an entry at rest: {100 * entry_cpu:.2f} % of a core")
    print(
        f"  {sides:>3} sides at rest: {100 * cpu:.2f} % of a core, {rss:.1f} MB, "
        f"{sent / REST_S / sides / 1000:.2f} KB/s each; "
        f"platform in {REST_S:.0f} s: {calls}"
    )


def _report_config(deployment: Deployment, sides: int) -> None:
    """Print how long a change takes until it is in force on every daemon."""
    taken = []
    for number in range(5):
        began = time.monotonic()
        body = deployment.operate(f"set service s budget {2_000_000 + number}")
        deployment.wait_revision(body["revision"])
        taken.append(time.monotonic() - began)
    print(
        f"  {sides:>3} sides: configuration in force everywhere after "
        f"{median(taken):.2f} s (longest {max(taken):.2f} s)"
    )


def _report_failure(deployment: Deployment, sides: int) -> None:
    """Kill one side process; print the time to whole pairs and the table's writes."""
    victim = next(n for n in deployment.sides() if n != "side-m1")
    member = deployment.health(victim)["member"]
    counts = deployment.records(deployment.platform_url)["counts"]
    began = time.monotonic()
    deployment.kill(victim)
    deployment.unlist(victim)
    named = repaired = 0.0
    while not repaired and time.monotonic() - began < TIMEOUT_S:
        rows = deployment.operate("show slots limit 2000")["rows"]
        since = time.monotonic() - began
        if not named and all(row[1] != member for row in rows):
            named = since
        if all(member not in (row[1], row[2]) and row[2] != "none" for row in rows):
            repaired = since
        time.sleep(0.05)
    later = deployment.records(deployment.platform_url)["counts"]
    calls = {k: later[k] - counts[k] for k in ("reads", "writes")}
    print(
        f"  {sides:>3} sides: kill to new carriers {named:.1f} s, to whole pairs "
        f"{repaired:.1f} s, platform {calls}"
    )


def _report_fleet(counts: list[int], slots: int) -> None:
    for sides in counts:
        deployment = _deployment(f"measure-{sides}", sides, slots)
        try:
            _settle(deployment)
            _report_rest(deployment, sides)
            _report_config(deployment, sides)
            _report_failure(deployment, sides)
        finally:
            deployment.stop()


def _first_token_s(url: str, headers: dict[str, str], body: Any, mark: str) -> float:
    """Seconds from the request to the first output."""
    began = time.perf_counter()
    taken = 0.0
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=TIMEOUT_S
    ) as answer:
        for line in answer.iter_lines():
            if not taken and line.startswith("data: ") and mark in line:
                taken = time.perf_counter() - began
    return taken or TIMEOUT_S


def _report_first_token() -> None:
    """Print the paired first-token times, direct and through the system."""
    deployment = _deployment("measure-token", 3, 16)
    direct, through = [], []
    try:
        engine = f"{deployment.backends['m1']}/v1/chat/completions"
        entry = f"{deployment.entries()[0]}/v1/programs"
        idle = {role: _usage(deployment, role) for role in ("entry", "side")}
        for number in range(PAIRS):
            prompt = f"shared: x\nitem {number}. words=10"
            chat = {
                "messages": [{"role": "user", "content": prompt}],
                "model": "lyric@1",
                "request_id": f"direct-{number}",
                "program": f"direct-{number}",
            }
            direct.append(_first_token_s(engine, {}, chat, '"content"'))
            headers = {
                "authorization": f"Bearer {CALLER_TOKEN}",
                "idempotency-key": f"k{number}",
                "accept": "text/event-stream",
            }
            body = {"service": "s", "prompt": prompt}
            through.append(_first_token_s(entry, headers, body, '"text"'))
        usage = {
            role: _usage(deployment, role) for role in ("entry", "side", "platform")
        }
    finally:
        deployment.stop()
    extra = [1000 * (b - a) for a, b in zip(direct, through, strict=True)]
    print(
        f"  first token: direct {1000 * median(direct):.1f} ms, through the system "
        f"{1000 * median(through):.1f} ms; paired difference median "
        f"{median(extra):.1f} ms, p95 {quantiles(extra, n=20)[-1]:.1f} ms "
        f"({PAIRS} pairs)"
    )
    for role, found in usage.items():
        print(f"  {role}: {max(rss for _, rss in found):.1f} MB resident")
    for role, before in idle.items():
        spent = sum(a for a, _ in usage[role]) - sum(b for b, _ in before)
        print(f"  {role}: {1000 * spent / PAIRS:.1f} ms of processor a program, all")


async def _keep_busy(url: str, until: float, counts: list[int]) -> None:
    """Run one program after another until a time (seconds, monotonic)."""
    worker = len(counts)
    counts.append(0)
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as http:
        while time.monotonic() < until:
            number = counts[worker]
            prompt = f"shared: x\nworker {worker} item {number}. words=20"
            headers = {
                "authorization": f"Bearer {CALLER_TOKEN}",
                "idempotency-key": f"busy-{worker}-{number}",
                "accept": "text/event-stream",
            }
            body = {"service": "s", "prompt": prompt}
            answer = await http.post(url, json=body, headers=headers)
            counts[worker] += "event: end" in answer.text


async def _run_load(urls: list[str], counts: list[int]) -> None:
    until = time.monotonic() + REST_S
    async with anyio.create_task_group() as group:
        for number in range(WORKERS):
            group.start_soon(_keep_busy, urls[number % len(urls)], until, counts)


def _report_loaded() -> None:
    """Print processor and memory of each role under many programs at once."""
    deployment = _deployment("measure-load", 3, 16)
    counts: list[int] = []
    try:
        _settle(deployment)
        urls = [f"{url}/v1/programs" for url in deployment.entries()]
        before = {role: _usage(deployment, role) for role in ("entry", "side")}
        began = time.monotonic()
        anyio.run(_run_load, urls, counts)
        taken = time.monotonic() - began
        after = {role: _usage(deployment, role) for role in before}
    finally:
        deployment.stop()
    print(f"  {sum(counts) / taken:.1f} programs/s, {WORKERS} at once, streamed")
    for role, then in before.items():
        shares = [
            100 * (b[0] - a[0]) / taken for a, b in zip(then, after[role], strict=True)
        ]
        rss = max(size for _, size in after[role])
        print(
            f"  {role}: {min(shares):.0f} to {max(shares):.0f} % of a core each, "
            f"{rss:.1f} MB"
        )


def _program_records(turns: int, tokens: int) -> list[bytes]:
    """Make the records of a program of so many turns and tokens a turn."""
    text = "lyric " * (tokens * 4 // 6)
    limits = Limits(10**9, 1000, 1000, 600.0, 30.0)
    start = ProgramStarted("p", "", "s", "c", text, limits, Service("s"), 0.0)
    records = [encode_record(start)]
    for turn in range(turns):
        intent = CallIntended(
            "p", turn + 1, 1, "model", "m1", "g#1", "m", "", True, 9, 0.0
        )
        ended = CallEnded(
            "p", turn + 1, 1, "ok", "yes", text, (Action("t", "a"),), 1, 1, 1, 0.0
        )
        records += [encode_record(intent), encode_record(ended)]
    return records


def _memory_of(build: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / MEGABYTE


def _report_memory() -> None:
    """Print the memory of one program's log, by tokens of history."""
    for tokens in (10_000, 100_000, 310_000):
        log_mb = _memory_of(partial(_build_log, tokens))
        print(f"  {tokens:>7} tokens in {TURNS} turns: log {log_mb:.2f} MB a copy")


def _build_log(tokens: int) -> SlotLog:
    log = SlotLog()
    for record in _program_records(TURNS, tokens // TURNS):
        log.add(log.make_entry("p", record))
    return log


def _report_turn_cost() -> None:
    """Print the processor time of one record: make, encode, chain."""
    records = _program_records(TURNS, 20)
    began = time.process_time()
    rounds = 50
    for _ in range(rounds):
        log = SlotLog()
        for record in records:
            log.add(log.make_entry("p", record))
    each = (time.process_time() - began) / rounds / len(records)
    print(f"  one record into a log: {1e6 * each:.1f} us")
    started = ProgramStarted(
        "p", "", "s", "c", "x", Limits(9, 9, 9, 9.0, 9.0), Service("s"), 0.0
    )
    began = time.process_time()
    program = Program(started)
    for _ in range(10_000):
        program.next_step(0.0)
    print(
        f"  one look at a program: {1e6 * (time.process_time() - began) / 1e4:.1f} us"
    )


def measure(
    *,
    sides: list[int] = [3, 15, 30, 60],  # noqa: B006
    slots: int = 64,
    fleet_only: bool = False,
) -> int:
    """Measure what docs/CAPACITY.md is worked out from.

    Parameters
    ----------
    sides : list[int]
        Numbers of side processes.
    slots : int
        Slots of the table.
    fleet_only : bool
        Leave out the first token and the program.
    """
    if not fleet_only:
        print("first token", flush=True)
        _report_first_token()
        print("loaded", flush=True)
        _report_loaded()
    print("fleet", flush=True)
    _report_fleet(sides, slots)
    if fleet_only:
        return 0
    print("program")
    _report_memory()
    _report_turn_cost()
    return 0
