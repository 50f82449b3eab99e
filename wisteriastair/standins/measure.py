"""Measurements for docs/CAPACITY.md, with real processes on this machine.

Prints the first-token overhead compared with direct calls to the engine, the processor
time and memory under load, the cost of an idle daemon by number of daemons, the time
until a configuration is in force on all daemons, the calls to the platform when idle
and per failure, the time from a kill until the slots have new primaries and complete
pairs, and the memory of a program by length of its history.
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
from .deployment import CALLER_TOKEN, Deployment, log_folder

MEASURE_PERIOD_S: Final = 10.0
SETTLE_CHECK_S: Final = 6.0
MAX_SETTLE_CHECKS: Final = 20
FIRST_TOKEN_PAIRS: Final = 60
TURNS: Final = 65
WORKERS: Final = 40
TIMEOUT_S: Final = 30.0
BYTES_PER_MB: Final = 1e6
EXAMPLE: Final = """
name = "measure"
domains = ["lac", "medina", "ariana"]
customer = "labels"
commands = [
  "declare server m1 kind model serves lyric@1",
  "create service s budget 4000000 models lyric@1",
]
servers = [{ name = "m1", kind = "model", models = ["lyric@1"], domain = "lac", args = ["--decode-tokens-s", "400"] }]
"""  # noqa: E501


def _start_deployment(name: str, sides: int, slots: int) -> Deployment:
    """Start a deployment with some side processes, one of them with an engine."""
    deployment = Deployment(tomllib.loads(EXAMPLE), log_folder() / name)
    deployment.slots = slots
    deployment.bare_side_count = sides - 1
    deployment.start(entry_count=2)
    deployment.wait_revision(deployment.configure())
    return deployment


def _process_usage(deployment: Deployment, role: str) -> list[tuple[float, float]]:
    """Return processor seconds and resident megabytes of each process of a role."""
    found = []
    for process in deployment.processes.values():
        if process.name.startswith(role):
            info = psutil.Process(process.popen.pid)
            times = info.cpu_times()
            rss = info.memory_info().rss / BYTES_PER_MB
            found.append((times.user + times.system, rss))
    return found


def _sum_metric(deployment: Deployment, role: str, name: str) -> float:
    """Return the sum of a metric over the processes of a role."""
    total = 0.0
    for process in deployment.processes.values():
        if not process.name.startswith(role):
            continue
        text = httpx.get(f"http://{process.http}/metrics").text
        for line in text.splitlines():
            if line.startswith(f"wisteriastair_{name} "):
                total += float(line.split(" ")[1])
    return total


def _wait_settled(deployment: Deployment) -> None:
    """Wait until the number of writes stays the same for ``SETTLE_CHECK_S``."""
    previous_writes = -1
    for _ in range(MAX_SETTLE_CHECKS):
        writes = deployment.records(deployment.platform_url)["counts"]["writes"]
        if writes == previous_writes:
            return
        previous_writes = writes
        time.sleep(SETTLE_CHECK_S)


def _report_idle(deployment: Deployment, sides: int) -> None:
    """Print processor time, memory and traffic of idle daemons."""
    counts = deployment.records(deployment.platform_url)["counts"]
    sent = _sum_metric(deployment, "side", "peer_bytes_sent_total")
    before = _process_usage(deployment, "side")
    entries_before = _process_usage(deployment, "entry")
    time.sleep(MEASURE_PERIOD_S)
    after = _process_usage(deployment, "side")
    entries_after = _process_usage(deployment, "entry")
    sent = _sum_metric(deployment, "side", "peer_bytes_sent_total") - sent
    later = deployment.records(deployment.platform_url)["counts"]
    cpu = median(
        (b[0] - a[0]) / MEASURE_PERIOD_S for a, b in zip(before, after, strict=True)
    )
    rss = median(b[1] for b in after)
    calls = {k: later[k] - counts[k] for k in ("reads", "writes", "watches")}
    entry_cpu = (entries_after[0][0] - entries_before[0][0]) / MEASURE_PERIOD_S
    print(f"  an entry at rest: {100 * entry_cpu:.2f} % of a core")
    print(
        f"  {sides:>3} sides at rest: {100 * cpu:.2f} % of a core, {rss:.1f} MB, "
        f"{sent / MEASURE_PERIOD_S / sides / 1000:.2f} KB/s each; "
        f"platform in {MEASURE_PERIOD_S:.0f} s: {calls}"
    )


def _report_config(deployment: Deployment, sides: int) -> None:
    """Print the time until a change is in force on every daemon."""
    durations_s = []
    for number in range(5):
        started_at = time.monotonic()
        body = deployment.operate(f"set service s budget {2_000_000 + number}")
        deployment.wait_revision(body["revision"])
        durations_s.append(time.monotonic() - started_at)
    print(
        f"  {sides:>3} sides: configuration in force everywhere after "
        f"{median(durations_s):.2f} s (longest {max(durations_s):.2f} s)"
    )


def _report_failure(deployment: Deployment, sides: int) -> None:
    """Kill one side process; print the time to complete pairs and the table writes."""
    victim = next(n for n in deployment.side_names() if n != "side-m1")
    member = deployment.health(victim)["member"]
    counts = deployment.records(deployment.platform_url)["counts"]
    started_at = time.monotonic()
    deployment.kill(victim)
    deployment.remove_instance(victim)
    new_primaries_s = pairs_complete_s = 0.0
    while not pairs_complete_s and time.monotonic() - started_at < TIMEOUT_S:
        rows = deployment.operate("show slots limit 2000")["rows"]
        elapsed_s = time.monotonic() - started_at
        if not new_primaries_s and all(row[1] != member for row in rows):
            new_primaries_s = elapsed_s
        if all(member not in (row[1], row[2]) and row[2] != "none" for row in rows):
            pairs_complete_s = elapsed_s
        time.sleep(0.05)
    later = deployment.records(deployment.platform_url)["counts"]
    calls = {k: later[k] - counts[k] for k in ("reads", "writes")}
    print(
        f"  {sides:>3} sides: kill to new carriers {new_primaries_s:.1f} s, "
        f"to whole pairs {pairs_complete_s:.1f} s, platform {calls}"
    )


def _report_fleet(counts: list[int], slots: int) -> None:
    for sides in counts:
        deployment = _start_deployment(f"measure-{sides}", sides, slots)
        try:
            _wait_settled(deployment)
            _report_idle(deployment, sides)
            _report_config(deployment, sides)
            _report_failure(deployment, sides)
        finally:
            deployment.stop()


def _first_token_s(
    url: str, headers: dict[str, str], body: Any, output_marker: str
) -> float:
    """Return the seconds from the request to the first output."""
    started_at = time.perf_counter()
    duration_s = 0.0
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=TIMEOUT_S
    ) as response:
        for line in response.iter_lines():
            if not duration_s and line.startswith("data: ") and output_marker in line:
                duration_s = time.perf_counter() - started_at
    return duration_s or TIMEOUT_S


def _report_first_token() -> None:
    """Print paired first-token times, direct and through the system."""
    deployment = _start_deployment("measure-token", 3, 16)
    direct, proxied = [], []
    try:
        engine = f"{deployment.backends['m1']}/v1/chat/completions"
        entry = f"{deployment.entry_urls()[0]}/v1/programs"
        idle = {role: _process_usage(deployment, role) for role in ("entry", "side")}
        for number in range(FIRST_TOKEN_PAIRS):
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
            proxied.append(_first_token_s(entry, headers, body, '"text"'))
        usage = {
            role: _process_usage(deployment, role)
            for role in ("entry", "side", "platform")
        }
    finally:
        deployment.stop()
    overhead_ms = [1000 * (b - a) for a, b in zip(direct, proxied, strict=True)]
    print(
        f"  first token: direct {1000 * median(direct):.1f} ms, through the system "
        f"{1000 * median(proxied):.1f} ms; paired difference median "
        f"{median(overhead_ms):.1f} ms, p95 {quantiles(overhead_ms, n=20)[-1]:.1f} ms "
        f"({FIRST_TOKEN_PAIRS} pairs)"
    )
    for role, found in usage.items():
        print(f"  {role}: {max(rss for _, rss in found):.1f} MB resident")
    for role, before in idle.items():
        cpu_s = sum(a for a, _ in usage[role]) - sum(b for b, _ in before)
        print(
            f"  {role}: {1000 * cpu_s / FIRST_TOKEN_PAIRS:.1f} ms of processor "
            "a program, all"
        )


async def _send_programs(url: str, deadline: float, counts: list[int]) -> None:
    """Run one program after another until a deadline (monotonic seconds)."""
    worker = len(counts)
    counts.append(0)
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as http:
        while time.monotonic() < deadline:
            number = counts[worker]
            prompt = f"shared: x\nworker {worker} item {number}. words=20"
            headers = {
                "authorization": f"Bearer {CALLER_TOKEN}",
                "idempotency-key": f"busy-{worker}-{number}",
                "accept": "text/event-stream",
            }
            body = {"service": "s", "prompt": prompt}
            response = await http.post(url, json=body, headers=headers)
            counts[worker] += "event: end" in response.text


async def _run_workers(urls: list[str], counts: list[int]) -> None:
    deadline = time.monotonic() + MEASURE_PERIOD_S
    async with anyio.create_task_group() as group:
        for number in range(WORKERS):
            group.start_soon(_send_programs, urls[number % len(urls)], deadline, counts)


def _report_loaded() -> None:
    """Print processor time and memory of each role under concurrent programs."""
    deployment = _start_deployment("measure-load", 3, 16)
    counts: list[int] = []
    try:
        _wait_settled(deployment)
        urls = [f"{url}/v1/programs" for url in deployment.entry_urls()]
        before = {role: _process_usage(deployment, role) for role in ("entry", "side")}
        started_at = time.monotonic()
        anyio.run(_run_workers, urls, counts)
        duration_s = time.monotonic() - started_at
        after = {role: _process_usage(deployment, role) for role in before}
    finally:
        deployment.stop()
    print(f"  {sum(counts) / duration_s:.1f} programs/s, {WORKERS} at once, streamed")
    for role, usage_before in before.items():
        cpu_percents = [
            100 * (b[0] - a[0]) / duration_s
            for a, b in zip(usage_before, after[role], strict=True)
        ]
        rss = max(size for _, size in after[role])
        print(
            f"  {role}: {min(cpu_percents):.0f} to {max(cpu_percents):.0f} % of a core "
            f"each, {rss:.1f} MB"
        )


def _program_records(turns: int, tokens: int) -> list[bytes]:
    """Return the records of a program with a number of turns and tokens per turn."""
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


def _memory_mb(build: Callable[[], object]) -> float:
    tracemalloc.start()
    result = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size / BYTES_PER_MB


def _report_memory() -> None:
    """Print the memory of the log of one program, by tokens of history."""
    for tokens in (10_000, 100_000, 310_000):
        log_mb = _memory_mb(partial(_build_log, tokens))
        print(f"  {tokens:>7} tokens in {TURNS} turns: log {log_mb:.2f} MB a copy")


def _build_log(tokens: int) -> SlotLog:
    log = SlotLog()
    for record in _program_records(TURNS, tokens // TURNS):
        log.add(log.make_entry("p", record))
    return log


def _report_turn_cost() -> None:
    """Print the processor time to create, encode and chain one record."""
    records = _program_records(TURNS, 20)
    started_at = time.process_time()
    rounds = 50
    for _ in range(rounds):
        log = SlotLog()
        for record in records:
            log.add(log.make_entry("p", record))
    record_s = (time.process_time() - started_at) / rounds / len(records)
    print(f"  one record into a log: {1e6 * record_s:.1f} us")
    program_started = ProgramStarted(
        "p", "", "s", "c", "x", Limits(9, 9, 9, 9.0, 9.0), Service("s"), 0.0
    )
    started_at = time.process_time()
    program = Program(program_started)
    for _ in range(10_000):
        program.next_step(0.0)
    print(
        f"  one look at a program: "
        f"{1e6 * (time.process_time() - started_at) / 1e4:.1f} us"
    )


def measure(
    *,
    sides: list[int] = [3, 15, 30, 60],  # noqa: B006
    slots: int = 64,
    fleet_only: bool = False,
) -> int:
    """Measure the figures of docs/CAPACITY.md.

    Parameters
    ----------
    sides : list[int]
        Numbers of side processes to measure.
    slots : int
        Slots of the table.
    fleet_only : bool
        Skip the measurements of the first token, the load and the program.
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
