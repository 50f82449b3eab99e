"""The load tool: policies compared on the users' workloads in virtual time.

Arrivals are open-loop: for a given seed, every policy gets the same programs at the
same times.  The cores are those of production; engines, services, network and platform
are simulated.  The tool prints program latency, the fraction of prompt tokens that were
computed again although an engine had computed them before, refusals and goodput.
"""

from __future__ import annotations

import json
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from statistics import median
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from ..core.config import PutServer, PutService, Server
from ..core.entry import CallerEvent, Done, RequestSpec
from ..core.gate import GateLimits
from ..core.hashing import hash64
from ..core.wire import GateCall
from .engine_model import EngineSpeed
from .virtual import VirtualDeployment
from .virtual_parts import VirtualOptions
from .workload import (
    Arrival,
    Workload,
    draw_lognormal,
    generate_arrivals,
    label_workload,
    office_workload,
)

SATURATION_LOAD: Final = 4.0
# Programs per second that exceed the capacity of each deployment.
OVERLOAD_RATES_PER_S: Final = {"office": 6.0, "ben-ammar": 1.0}
WARM_UP_S: Final = 60.0
SLOW_FACTOR: Final = 4.0
BURST_S: Final = 60.0
# Programs that start after this fraction of a run count as late.
LATE_FRACTION: Final = 0.75
MAX_PAUSE_S: Final = 20.0
DRAIN_S: Final = 900.0
MAX_LATENCY_MS: Final = 3_600_000
NO_WAIT_LIMIT_S: Final = 0.0
MAX_WAIT_S: Final = 4.0
# Router, order, and the predicted wait in seconds above which a program is rejected.
POLICIES: Final = {
    "round robin, fifo": ("round-robin", "fifo", NO_WAIT_LIMIT_S),
    "least load, fifo": ("least-load", "fifo", NO_WAIT_LIMIT_S),
    "affinity, fifo": ("affinity", "fifo", NO_WAIT_LIMIT_S),
    "cost, fifo": ("cost", "fifo", NO_WAIT_LIMIT_S),
    "cost, program": ("cost", "program", NO_WAIT_LIMIT_S),
    "chosen": ("cost", "program", MAX_WAIT_S),
}
DEFAULT_POLICY: Final = "chosen"


class Run(NamedTuple):
    """Parameters of one run."""

    user: str
    policy: str
    load: float
    rate_s: float
    seconds: float
    seed: int
    fault: str = ""


class Result(NamedTuple):
    """Results of one run; latencies in seconds."""

    run: Run
    finished: int
    refused: int
    failed: int
    mean_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    wasted: float
    goodput_s: float
    slowest_refusal_s: float
    fairness: float
    late_p95_s: float


def workload_for_user(user: str) -> Workload:
    """Return the workload of a user."""
    return office_workload() if user == "office" else label_workload()


def start_deployment(workload: Workload, policy: str, seed: int) -> VirtualDeployment:
    """Start a deployment for a workload with a policy."""
    router, order, max_wait_s = POLICIES[policy]
    speed = EngineSpeed()
    deployment = VirtualDeployment(
        VirtualOptions(
            workload.servers,
            seed=seed,
            stream=False,
            tick_s=0.2,
            speed=speed,
            gate=GateLimits(speed.batch, speed.cache_tokens, 64),
            router=router,
            order=order,
            max_wait_s=max_wait_s,
        )
    )
    for server in workload.servers:
        declared = Server(server.name, server.kind, server.serves)
        deployment.change(PutServer(f"declare {server.name}", declared))
    deployment.change(PutService("create", True, workload.service))
    random = Random(seed)

    def draw_pause_s(call: GateCall) -> float:
        pause_random = Random(hash64(call.body, str(seed)) ^ 1)
        pause_s = draw_lognormal(
            pause_random, workload.pause_median_s, workload.pause_sigma
        )
        return min(MAX_PAUSE_S, pause_s)

    deployment.service_delay = draw_pause_s
    deployment.run(10.0 + random.random())
    return deployment


class _LoadGenerator:
    """Sends the programs of one run and counts their results."""

    def __init__(
        self, deployment: VirtualDeployment, workload: Workload, window_s: float
    ) -> None:
        self.deployment = deployment
        self.workload = workload
        self.pending = 0
        self.window_s = window_s
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.late_latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.late_from_s = 0.0
        self.total_latency_s = 0.0
        self.finished = 0
        self.finished_in_window = 0
        self.refused = 0
        self.failed = 0
        self.failure_statuses: Counter[str] = Counter()
        self.slowest_refusal_s = 0.0
        self.latencies_by_customer: dict[str, list[float]] = {}

    def send(self, arrival: Arrival, counted: bool, window_end: float) -> None:
        """Send one program."""
        self.pending += 1
        spec = RequestSpec(
            "start",
            arrival.customer,
            key=arrival.key,
            service=self.workload.service.name,
            prompt=arrival.prompt,
        )
        started_at = self.deployment.now
        request = self.deployment.submit(spec, 1 + self.pending % 2)

        def ended(event: CallerEvent) -> None:
            self.pending -= 1
            del self.deployment.events[request]
            done = isinstance(event, Done) and event.outcome.status == "done"
            window_start = window_end - self.window_s
            self.finished_in_window += (
                done and window_start <= self.deployment.now <= window_end
            )
            if counted:
                self._count(event, arrival, started_at)

        self.deployment.on_final_event[request] = ended

    def _count(self, event: CallerEvent, arrival: Arrival, started_at: float) -> None:
        latency_s = self.deployment.now - started_at
        if isinstance(event, Done) and event.outcome.status == "done":
            self.finished += 1
            self.total_latency_s += latency_s
            self.latency.record_value(max(1, int(latency_s * 1000)))
            if started_at >= self.late_from_s:
                self.late_latency.record_value(max(1, int(latency_s * 1000)))
            self.latencies_by_customer.setdefault(arrival.customer, []).append(
                latency_s
            )
        elif isinstance(event, Done) and event.outcome.ran != "no":
            self.failed += 1
            self.failure_statuses[event.outcome.status] += 1
        else:
            self.refused += 1
            self.slowest_refusal_s = max(self.slowest_refusal_s, latency_s)

    def fairness(self) -> float:
        """Return Jain's index over the mean latency of each customer; 1 is equal."""
        means = [sum(v) / len(v) for v in self.latencies_by_customer.values()]
        if not means:
            return 1.0
        squares = sum(m * m for m in means)
        return sum(means) ** 2 / (len(means) * squares)


def execute_run(run: Run) -> Result:
    """Execute one run."""
    workload = workload_for_user(run.user)
    deployment = start_deployment(workload, run.policy, run.seed)
    generator = _LoadGenerator(deployment, workload, run.seconds - WARM_UP_S)
    started_at = deployment.now
    generator.late_from_s = started_at + LATE_FRACTION * run.seconds
    window_end = started_at + run.seconds
    programs = generate_arrivals(workload, run.rate_s, run.seconds, run.seed)
    if run.fault == "burst":
        programs += _burst_arrivals(workload, run)
    for arrival in programs:
        counted = arrival.arrival_s >= WARM_UP_S

        def send(a: Arrival = arrival, is_counted: bool = counted) -> None:
            generator.send(a, is_counted, window_end)

        deployment.after(arrival.arrival_s, send)
    _schedule_fault(deployment, run)
    deployment.run(run.seconds)
    deployment.run_until(lambda: generator.pending == 0, DRAIN_S)
    prefill_stats = deployment.prefill_stats
    latency = generator.latency
    return Result(
        run,
        generator.finished,
        generator.refused,
        generator.failed,
        generator.total_latency_s / max(1, generator.finished),
        latency.get_value_at_percentile(50) / 1000,
        latency.get_value_at_percentile(95) / 1000,
        latency.get_value_at_percentile(99) / 1000,
        prefill_stats.wasted_tokens / max(1, prefill_stats.prompt_tokens),
        generator.finished_in_window / (run.seconds - WARM_UP_S),
        generator.slowest_refusal_s,
        generator.fairness(),
        generator.late_latency.get_value_at_percentile(95) / 1000,
    )


def _burst_arrivals(workload: Workload, run: Run) -> list[Arrival]:
    """Return extra arrivals that triple the rate for ``BURST_S`` seconds."""
    extra_arrivals = generate_arrivals(
        workload, 2 * run.rate_s, BURST_S, run.seed + 1_000
    )
    burst_start_s = run.seconds / 3
    return [
        a._replace(arrival_s=burst_start_s + a.arrival_s, key=f"burst {a.key}")
        for a in extra_arrivals
    ]


def _schedule_fault(deployment: VirtualDeployment, run: Run) -> None:
    """Slow down or kill a server after a third of the run."""
    fault_start_s = run.seconds / 3
    first = deployment.cfg.servers[0].name
    match run.fault:
        case "slow":
            engine = deployment.engines[first]
            deployment.after(
                fault_start_s, lambda: setattr(engine, "slow_factor", SLOW_FACTOR)
            )
        case "lost":
            deployment.after(fault_start_s, lambda: deployment.kill(f"side-{first}"))
        case _:
            pass


def measure_capacity(user: str, seconds: float) -> float:
    """Return the programs per second that the default policy finishes in overload."""
    rate = OVERLOAD_RATES_PER_S[user]
    result = execute_run(Run(user, DEFAULT_POLICY, SATURATION_LOAD, rate, seconds, 0))
    return result.goodput_s


def load(
    *,
    users: list[str] = ["office", "ben-ammar"],  # noqa: B006
    loads: list[float] = [0.5, 0.8, 1.0, 1.3],  # noqa: B006
    seeds: int = 3,
    seconds: float = 360.0,
    jobs: int = 4,
    fault: str = "",
    plot: str = "",
) -> int:
    """Compare policies on the users' workloads in virtual time.

    Parameters
    ----------
    users : list[str]
        office, ben-ammar.
    loads : list[float]
        Fractions of the measured capacity to offer.
    seeds : int
        Runs per combination of user, load and policy.
    seconds : float
        Virtual seconds of arrivals.
    jobs : int
        Runs in parallel.
    fault : str
        What happens after a third of each run: slow or lost (one model server), burst
        (three times the arrivals for a minute).
    plot : str
        File for the results as JSON lines; empty for none.
    """
    with ProcessPoolExecutor(jobs) as pool:
        estimates = pool.map(measure_capacity, users, [seconds] * len(users))
        capacities = dict(zip(users, estimates, strict=True))
        runs = [
            Run(
                user,
                policy,
                load_fraction,
                load_fraction * capacities[user],
                seconds,
                seed,
                fault,
            )
            for user in users
            for load_fraction in loads
            for policy in POLICIES
            for seed in range(1, seeds + 1)
        ]
        results = list(pool.map(execute_run, runs))
    for user in users:
        print(f"\n{user}: capacity {capacities[user]:.2f} programs/s")
        print(_HEADER)
        for load_fraction in loads:
            for policy in POLICIES:
                matching = [
                    r
                    for r in results
                    if (r.run.user, r.run.load, r.run.policy)
                    == (user, load_fraction, policy)
                ]
                print(_format_row(load_fraction, policy, matching, capacities[user]))
    if plot:
        Path(plot).write_text("".join(json.dumps(_flatten(r)) + "\n" for r in results))
    return 0


_HEADER: Final = (
    f"{'load':>5} {'policy':<18} {'mean s':>8} {'p50 s':>7} {'p95 s':>15} {'p99 s':>7} "
    f"{'wasted %':>15} {'goodput':>8} {'refused':>8} {'failed':>6} {'fair':>5} "
    f"{'late p95':>8}"
)


def _format_row(
    load_fraction: float, policy: str, matching: list[Result], capacity: float
) -> str:
    def median_of(name: str) -> float:
        return float(median(getattr(r, name) for r in matching))

    def format_spread(name: str, factor: float = 1.0) -> str:
        values = [factor * getattr(r, name) for r in matching]
        return f"{median(values):.1f} ({min(values):.1f}-{max(values):.1f})"

    total = sum(r.finished + r.refused + r.failed for r in matching)
    refused = sum(r.refused for r in matching) / max(1, total)
    failed = sum(r.failed for r in matching)
    return (
        f"{load_fraction:>5} {policy:<18} "
        f"{median_of('mean_s'):>8.1f} {median_of('p50_s'):>7.1f} "
        f"{format_spread('p95_s'):>15} {median_of('p99_s'):>7.1f} "
        f"{format_spread('wasted', 100):>15} "
        f"{median_of('goodput_s') / capacity:>8.2f} {refused:>8.1%} {failed:>6} "
        f"{median_of('fairness'):>5.2f} {median_of('late_p95_s'):>8.1f}"
    )


def _flatten(result: Result) -> dict[str, Any]:
    fields = result._asdict()
    run = fields.pop("run")
    return {**run._asdict(), **fields}
