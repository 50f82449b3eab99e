"""The load tool: policies compared on the users' workloads in virtual time.

Arrivals are open-loop; every policy gets the same programs at the same times for a
seed.  The shipped cores decide; only engines, services, network and platform are
stand-ins.  Printed are program latency, wasted cache (prompt tokens that some engine
had computed before and that were computed again, of all prompt tokens), refusals and
goodput.
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
    arrivals,
    heavy_tailed,
    label_workload,
    office_workload,
)

SATURATION: Final = 4.0
FIRST_GUESS_S: Final = {"office": 6.0, "ben-ammar": 1.0}
WARM_UP_S: Final = 60.0
SLOWNESS: Final = 4.0
BURST_S: Final = 60.0
LATE_SHARE: Final = 0.75
LONGEST_PAUSE_S: Final = 20.0
DRAIN_S: Final = 900.0
HIGHEST_MS: Final = 3_600_000
NO_LIMIT: Final = 0.0
MAX_WAIT_S: Final = 4.0
# Router, order, and the predicted wait over which a new program is refused.
POLICIES: Final = {
    "round robin, fifo": ("round-robin", "fifo", NO_LIMIT),
    "least load, fifo": ("least-load", "fifo", NO_LIMIT),
    "affinity, fifo": ("affinity", "fifo", NO_LIMIT),
    "cost, fifo": ("cost", "fifo", NO_LIMIT),
    "cost, program": ("cost", "program", NO_LIMIT),
    "chosen": ("cost", "program", MAX_WAIT_S),
}
CHOSEN: Final = "chosen"


class Run(NamedTuple):
    """One run to make."""

    user: str
    policy: str
    load: float
    rate_s: float
    seconds: float
    seed: int
    fault: str = ""


class Result(NamedTuple):
    """What one run showed; latencies in seconds."""

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


def workload_of(user: str) -> Workload:
    """Return the workload of a user."""
    return office_workload() if user == "office" else label_workload()


def deployment_for(workload: Workload, policy: str, seed: int) -> VirtualDeployment:
    """Start a deployment for a workload under a policy."""
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

    def pause(call: GateCall) -> float:
        drawn = Random(hash64(call.body, str(seed)) ^ 1)
        drawn_s = heavy_tailed(drawn, workload.pause_median_s, workload.pause_sigma)
        return min(LONGEST_PAUSE_S, drawn_s)

    deployment.service_time = pause
    deployment.run(10.0 + random.random())
    return deployment


class _Caller:
    """Gathers what callers see in one run."""

    def __init__(
        self, deployment: VirtualDeployment, workload: Workload, window_s: float
    ) -> None:
        self.deployment = deployment
        self.workload = workload
        self.waiting = 0
        self.window_s = window_s
        self.latency = HdrHistogram(1, HIGHEST_MS, 3)
        self.late = HdrHistogram(1, HIGHEST_MS, 3)
        self.late_from = 0.0
        self.total_s = 0.0
        self.finished = 0
        self.in_window = 0
        self.refused = 0
        self.failed = 0
        self.reasons: Counter[str] = Counter()
        self.slowest_refusal_s = 0.0
        self.by_customer: dict[str, list[float]] = {}

    def send(self, arrival: Arrival, count: bool, window_end: float) -> None:
        """Send one program."""
        self.waiting += 1
        ask = RequestSpec(
            "start",
            arrival.customer,
            key=arrival.key,
            service=self.workload.service.name,
            prompt=arrival.prompt,
        )
        began = self.deployment.now
        request = self.deployment.ask(ask, 1 + self.waiting % 2)

        def ended(event: CallerEvent) -> None:
            self.waiting -= 1
            del self.deployment.events[request]
            done = isinstance(event, Done) and event.outcome.status == "done"
            began_s = window_end - self.window_s
            self.in_window += done and began_s <= self.deployment.now <= window_end
            if count:
                self._count(event, arrival, began)

        self.deployment.on_last[request] = ended

    def _count(self, event: CallerEvent, arrival: Arrival, began: float) -> None:
        taken = self.deployment.now - began
        if isinstance(event, Done) and event.outcome.status == "done":
            self.finished += 1
            self.total_s += taken
            self.latency.record_value(max(1, int(taken * 1000)))
            if began >= self.late_from:
                self.late.record_value(max(1, int(taken * 1000)))
            self.by_customer.setdefault(arrival.customer, []).append(taken)
        elif isinstance(event, Done) and event.outcome.ran != "no":
            self.failed += 1
            self.reasons[event.outcome.status] += 1
        else:
            self.refused += 1
            self.slowest_refusal_s = max(self.slowest_refusal_s, taken)

    def fairness(self) -> float:
        """Jain's index over the customers' mean latencies; 1 is equal."""
        means = [sum(v) / len(v) for v in self.by_customer.values()]
        if not means:
            return 1.0
        squares = sum(m * m for m in means)
        return sum(means) ** 2 / (len(means) * squares)


def measure(run: Run) -> Result:
    """Make one run."""
    workload = workload_of(run.user)
    deployment = deployment_for(workload, run.policy, run.seed)
    caller = _Caller(deployment, workload, run.seconds - WARM_UP_S)
    begin = deployment.now
    caller.late_from = begin + LATE_SHARE * run.seconds
    window_end = begin + run.seconds
    programs = arrivals(workload, run.rate_s, run.seconds, run.seed)
    if run.fault == "burst":
        programs += _burst(workload, run)
    for arrival in programs:
        counted = arrival.at >= WARM_UP_S

        def send(a: Arrival = arrival, c: bool = counted) -> None:
            caller.send(a, c, window_end)

        deployment.after(arrival.at, send)
    _schedule_fault(deployment, run)
    deployment.run(run.seconds)
    deployment.run_until(lambda: caller.waiting == 0, DRAIN_S)
    ledger = deployment.ledger
    latency = caller.latency
    return Result(
        run,
        caller.finished,
        caller.refused,
        caller.failed,
        caller.total_s / max(1, caller.finished),
        latency.get_value_at_percentile(50) / 1000,
        latency.get_value_at_percentile(95) / 1000,
        latency.get_value_at_percentile(99) / 1000,
        ledger.wasted_tokens / max(1, ledger.prompt_tokens),
        caller.in_window / (run.seconds - WARM_UP_S),
        caller.slowest_refusal_s,
        caller.fairness(),
        caller.late.get_value_at_percentile(95) / 1000,
    )


def _burst(workload: Workload, run: Run) -> list[Arrival]:
    """Extra programs that make the rate three times as high for a while."""
    extra = arrivals(workload, 2 * run.rate_s, BURST_S, run.seed + 1_000)
    begin = run.seconds / 3
    return [a._replace(at=begin + a.at, key=f"burst {a.key}") for a in extra]


def _schedule_fault(deployment: VirtualDeployment, run: Run) -> None:
    """Make a server slow, or lose one, a third into the run."""
    at = run.seconds / 3
    first = deployment.cfg.servers[0].name
    match run.fault:
        case "slow":
            engine = deployment.engines[first]
            deployment.after(at, lambda: setattr(engine, "slow_factor", SLOWNESS))
        case "lost":
            deployment.after(at, lambda: deployment.kill(f"side-{first}"))
        case _:
            pass


def capacity_of(user: str, seconds: float) -> float:
    """Programs a second that the chosen policy finishes when offered too many."""
    rate = FIRST_GUESS_S[user]
    result = measure(Run(user, CHOSEN, SATURATION, rate, seconds, 0))
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
        Shares of the measured capacity to offer.
    seeds : int
        Runs of each kind.
    seconds : float
        Virtual seconds of arrivals.
    jobs : int
        Runs at once.
    fault : str
        What happens a third into each run: slow or lost (one model server), burst
        (three times the arrivals for a minute).
    plot : str
        File for the results as JSON lines; empty for none.
    """
    with ProcessPoolExecutor(jobs) as pool:
        found = pool.map(capacity_of, users, [seconds] * len(users))
        capacities = dict(zip(users, found, strict=True))
        runs = [
            Run(user, policy, share, share * capacities[user], seconds, seed, fault)
            for user in users
            for share in loads
            for policy in POLICIES
            for seed in range(1, seeds + 1)
        ]
        results = list(pool.map(measure, runs))
    for user in users:
        print(f"\n{user}: capacity {capacities[user]:.2f} programs/s")
        print(_HEADER)
        for share in loads:
            for policy in POLICIES:
                same = [
                    r
                    for r in results
                    if (r.run.user, r.run.load, r.run.policy) == (user, share, policy)
                ]
                print(_line(share, policy, same, capacities[user]))
    if plot:
        Path(plot).write_text("".join(json.dumps(_flat(r)) + "\n" for r in results))
    return 0


_HEADER: Final = (
    f"{'load':>5} {'policy':<18} {'mean s':>8} {'p50 s':>7} {'p95 s':>15} {'p99 s':>7} "
    f"{'wasted %':>15} {'goodput':>8} {'refused':>8} {'failed':>6} {'fair':>5} "
    f"{'late p95':>8}"
)


def _line(share: float, policy: str, same: list[Result], capacity: float) -> str:
    def mid(name: str) -> float:
        return float(median(getattr(r, name) for r in same))

    def spread(name: str, factor: float = 1.0) -> str:
        values = [factor * getattr(r, name) for r in same]
        return f"{median(values):.1f} ({min(values):.1f}-{max(values):.1f})"

    total = sum(r.finished + r.refused + r.failed for r in same)
    refused = sum(r.refused for r in same) / max(1, total)
    failed = sum(r.failed for r in same)
    return (
        f"{share:>5} {policy:<18} {mid('mean_s'):>8.1f} {mid('p50_s'):>7.1f} "
        f"{spread('p95_s'):>15} {mid('p99_s'):>7.1f} {spread('wasted', 100):>15} "
        f"{mid('goodput_s') / capacity:>8.2f} {refused:>8.1%} {failed:>6} "
        f"{mid('fairness'):>5.2f} {mid('late_p95_s'):>8.1f}"
    )


def _flat(result: Result) -> dict[str, Any]:
    fields = result._asdict()
    run = fields.pop("run")
    return {**run._asdict(), **fields}
