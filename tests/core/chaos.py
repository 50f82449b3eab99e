"""Random faults in a virtual deployment, and the checker of the results.

The checker relies only on the stand-ins: the executions of the plain services, the
cache of the engines, the contents of the key-value service and the events that callers
received.  It never relies on reports of the system under test.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import Final, NamedTuple

from tests.core.deployments import MODEL, all_paired, office, streamed
from wisteriastair.core.entry import Done, Refused, RequestSpec
from wisteriastair.core.side import SideCore
from wisteriastair.core.wire import Message
from wisteriastair.standins.script import final_answer
from wisteriastair.standins.virtual import VirtualDeployment
from wisteriastair.standins.virtual_parts import (
    VirtualOptions,
    VirtualServer,
    no_extra_delays,
)

PROGRAM_COUNT: Final = 24
MAX_REQUESTS: Final = 12
LAST_FAULT_S: Final = 60.0
SETTLE_S: Final = 240.0
LEASE_EXPIRY_S: Final = 30.0
SERVERS: Final = (
    VirtualServer("m1", "model", (MODEL,), "chingeltei"),
    VirtualServer("m2", "model", (MODEL,), "bayanzurkh"),
    VirtualServer("m3", "model", (MODEL,), "khan-uul"),
    VirtualServer("m4", "model", (MODEL,), "chingeltei"),
    VirtualServer("p1", "plain", ("listings", "swaps"), "bayanzurkh"),
    VirtualServer("p2", "plain", ("listings", "swaps"), "khan-uul"),
)


class Report(NamedTuple):
    """Result of a run; all fields but the first three must be 0."""

    finished_whole: int
    outcome_unknown: int
    refused: int
    never_answered: int
    wrong_answers: int
    ran_twice: int
    wrong_not_run: int
    over_budget: int
    leaked_cache: int
    unpaired: int
    reverted: int


FAULT_COLUMNS: Final = Report._fields[3:]


class _Chaos:
    """One run."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.deployment = office(VirtualOptions(SERVERS, seed=seed, service_s=0.4))
        self.prompts: dict[str, str] = {}
        self.final: dict[str, Done | Refused] = {}
        self.request_counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self.revisions: dict[str, int] = {}
        self.reverted = 0
        self.log: list[str] = []

    # Callers

    def start_programs(self) -> None:
        for number in range(PROGRAM_COUNT):
            key = f"k{number}"
            self.prompts[key] = (
                f"shared: You appraise.\nPuzzle {key}?\n"
                f"plan: tool find {key} | spawn Check {key}. words=6 & spawn Ask {key}."
                f" | tool reserve {key}\nwords={self.random.randint(5, 80)}"
            )
            delay = self.random.random() * LAST_FAULT_S * 0.8
            self.deployment.after(delay, partial(self.submit, key))

    def submit(self, key: str) -> None:
        self.request_counts[key] += 1
        spec = RequestSpec(
            "start",
            "citizens",
            key=key,
            service="appraisal",
            prompt=self.prompts[key],
            stream=self.random.random() < 0.7,
        )
        request = self.deployment.submit(spec, self.random.choice((1, 2)))
        self.deployment.on_final_event[request] = lambda e: self.on_ended(
            key, request, e
        )

    def on_ended(self, key: str, request: str, event: object) -> None:
        assert isinstance(event, Done | Refused)
        self.final[key] = event
        streamed(self.deployment, request)
        retry_s = (
            event.failure.retry_after_s
            if isinstance(event, Refused)
            else event.outcome.retry_after_s
        )
        if retry_s > 0 and self.request_counts[key] < MAX_REQUESTS:
            self.deployment.after(retry_s, lambda: self.submit(key))

    # Faults

    def schedule(self) -> None:
        at = 1.0
        while at < LAST_FAULT_S:
            self.deployment.after(at, self.inject_fault)
            at += 1.0 + self.random.random() * 5.0

    def inject_fault(self) -> None:
        deployment = self.deployment
        name = self.random.choice([f"side-{s.name}" for s in SERVERS])
        kind = self.random.choice(
            ("kill", "kill", "freeze", "cut", "outage", "lose", "disturb", "stop")
        )
        seconds = 0.5 + self.random.random() * 8.0
        self.log.append(f"{deployment.now - 1000:.2f} {kind} {name} {seconds:.1f}")
        usable = deployment.nodes[name].alive and not deployment.nodes[name].drained
        if kind == "kill" and usable and self.can_kill():
            listed = self.random.random() < 0.5
            deployment.kill(name, listed=listed)
            deployment.after(seconds, lambda: self.restart(name))
        elif kind == "stop" and usable and not deployment.nodes[name].frozen:
            deployment.stop_side(name)
            deployment.after(30.0, lambda: self.restart(name))
        elif kind == "freeze" and usable:
            deployment.freeze(name)
            deployment.after(seconds, lambda: deployment.resume(name))
        elif kind == "cut":
            other = self.random.choice([n for n in deployment.nodes if n != name])
            deployment.partition(name, other)
            deployment.after(seconds, deployment.remove_partitions)
        elif kind == "outage":
            deployment.kv.up = False
            deployment.after(seconds, self.restore_kv)
        elif kind == "lose":
            deployment.kv.responses_to_drop += self.random.randint(1, 3)
        elif kind == "disturb":
            self.disturb_delivery(seconds)

    def can_kill(self) -> bool:
        """Whether no other process is down; two failures at once may lose a slot."""
        nodes = self.deployment.nodes.values()
        if any(n.frozen or not n.alive or n.drained for n in nodes):
            return False
        return all_paired(self.deployment) and self.deployment.kv.up

    def restore_kv(self) -> None:
        self.deployment.kv.up = True

    def disturb_delivery(self, seconds: float) -> None:
        """Drop, delay and duplicate some messages for a while."""
        random = Random(self.random.random())

        def delivery_delays(
            sender: str, to: str, message: Message
        ) -> tuple[float, ...]:
            draw = random.random()
            if draw < 0.04:
                return ()
            if draw < 0.08:
                return (random.random() * 5.0,)
            if draw < 0.12:
                return (0.0, random.random() * 5.0)
            return (0.0,)

        self.deployment.delivery_delays = delivery_delays
        self.deployment.after(seconds, self.restore_delivery)

    def restore_delivery(self) -> None:
        self.deployment.delivery_delays = no_extra_delays

    def restart(self, name: str) -> None:
        node = self.deployment.nodes[name]
        if node.alive and not node.drained:
            if node.frozen:
                return
            self.deployment.after(5.0, lambda: self.restart(name))
            return
        server = next(s for s in SERVERS if f"side-{s.name}" == name)
        self.revisions.pop(name, None)
        self.deployment.start_side(server)

    def watch_revisions(self) -> None:
        """Record the configuration revision of every daemon; it must never decrease."""
        for name, node in self.deployment.nodes.items():
            revision = node.core.docs.revisions().get("config", 0)
            if revision < self.revisions.get(name, 0):
                self.reverted += 1
            self.revisions[name] = revision
        self.deployment.after(0.5, self.watch_revisions)

    # Result

    def is_settled(self) -> bool:
        return len(self.final) == PROGRAM_COUNT and all(
            self.is_final(key) for key in self.final
        )

    def is_final(self, key: str) -> bool:
        event = self.final[key]
        if isinstance(event, Refused):
            return (
                event.failure.retry_after_s == 0
                or self.request_counts[key] >= MAX_REQUESTS
            )
        return (
            event.outcome.retry_after_s == 0 or self.request_counts[key] >= MAX_REQUESTS
        )

    def report(self) -> Report:
        executed = Counter(
            e.argument
            for e in self.deployment.executions
            if e.operation == "swaps/reserve"
        )
        whole = unknown = refused = wrong = not_run = over = 0
        for key, event in self.final.items():
            if isinstance(event, Refused):
                refused += 1
                not_run += event.failure.ran == "no" and executed[key] > 0
                continue
            outcome = event.outcome
            over += outcome.spent > 40_000
            if outcome.status == "done":
                good = outcome.answer == final_answer(self.prompts[key])
                whole += good
                wrong += not good
            elif outcome.ran == "unknown":
                unknown += 1
            else:
                refused += 1
                not_run += outcome.ran == "no" and executed[key] > 0
        return Report(
            whole,
            unknown,
            refused,
            PROGRAM_COUNT - len(self.final),
            wrong,
            sum(1 for count in executed.values() if count > 1),
            not_run,
            over,
            sum(len(engine.programs()) for engine in self.deployment.engines.values()),
            0 if all_paired(self.deployment) else 1,
            self.reverted,
        )


def run_chaos(seed: int) -> tuple[Report, _Chaos]:
    """Run one seed until all programs have ended and all leases have expired."""
    chaos = _Chaos(seed)
    chaos.start_programs()
    chaos.schedule()
    chaos.watch_revisions()
    chaos.deployment.run(LAST_FAULT_S + 10.0)
    chaos.deployment.remove_partitions()
    chaos.restore_delivery()
    chaos.deployment.run_until(chaos.is_settled, SETTLE_S)
    chaos.deployment.run(LEASE_EXPIRY_S + 10.0)
    return chaos.report(), chaos


def core_of(deployment: VirtualDeployment, name: str) -> SideCore:
    """Return the core of a side process."""
    core = deployment.nodes[name].core
    assert isinstance(core, SideCore)
    return core
