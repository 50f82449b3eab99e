"""The fault run: real processes, seeded faults, and a checker.

Callers of both workloads run programs while faults are injected: side processes are
killed and frozen, an entry is killed, the platform goes down and loses responses,
engines stop sending output, a service loses a response after the execution, and
operators make conflicting changes.  The checker uses only the records of the stand-ins
and what callers received.
"""

from __future__ import annotations

import base64
import signal
import time
import tomllib
from collections import Counter
from functools import partial
from random import Random
from typing import Any, Final

import anyio
import anyio.to_thread
import httpx

from ..core.config import decode_config
from .deployment import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Deployment,
    command_line,
    log_folder,
)
from .script import final_answer

CALL_TIMEOUT_S: Final = 60.0
# Callers retry for this long.
RETRY_PERIOD_S: Final = 120.0
# Wait before the check, so that unused cache leases have been released.
LEASE_EXPIRY_S: Final = 30.0
BUDGET_TOKENS: Final = 40_000
EXAMPLE: Final = """
name = "faults"
domains = ["chingeltei", "bayanzurkh", "khan-uul"]
customer = "citizens"
slots = 16
commands = [
  "declare server m1 kind model serves jigsaw-7b@3",
  "declare server m2 kind model serves jigsaw-7b@3",
  "declare server m3 kind model serves jigsaw-7b@3",
  "declare server p1 kind plain serves listings, swaps",
  "declare server p2 kind plain serves listings, swaps",
  "create service appraisal budget 40000 priority 7 models jigsaw-7b@3 waste_weight 0.2 tool find from listings repeatable tool reserve from swaps once",
  "create service negotiation budget 40000 models jigsaw-7b@3 waste_weight 0.8 tool chain from listings repeatable tool grant from swaps once",
]
servers = [
  { name = "m1", kind = "model", models = ["jigsaw-7b@3"], domain = "chingeltei" },
  { name = "m2", kind = "model", models = ["jigsaw-7b@3"], domain = "bayanzurkh" },
  { name = "m3", kind = "model", models = ["jigsaw-7b@3"], domain = "khan-uul" },
  { name = "p1", kind = "plain", domain = "chingeltei" },
  { name = "p2", kind = "plain", domain = "bayanzurkh" },
]
"""  # noqa: E501


class _ProgramOutcome:
    """The last response that the caller of a program received."""

    def __init__(self, key: str, prompt: str, irreversible_argument: str) -> None:
        self.key = key
        self.prompt = prompt
        self.irreversible_argument = irreversible_argument
        self.status = "no answer"
        self.ran = "unknown"
        self.answer = ""
        self.spent_tokens = 0


class FaultRun:
    """A seeded run of programs and faults on a deployment."""

    def __init__(self, seed: int, programs: int, command: tuple[str, ...]) -> None:
        self.random = Random(seed)
        self.programs = programs
        self.outcomes: list[_ProgramOutcome] = []
        self.deployment = Deployment(
            tomllib.loads(EXAMPLE), log_folder() / f"faults-{seed}", command
        )
        self.fault_counts: Counter[str] = Counter()
        self.race_results = Counter[str]()
        self.revisions: dict[str, int] = {}
        self.revert_count = 0
        self.is_running = True

    async def run(self) -> dict[str, int]:
        """Run programs and faults; return the counts of the checker."""
        await anyio.to_thread.run_sync(self.deployment.start)
        await anyio.to_thread.run_sync(self.deployment.configure)
        async with anyio.create_task_group() as group:
            group.start_soon(self._inject_faults)
            group.start_soon(self._race_operators)
            group.start_soon(self._watch_revisions)
            await self._run_programs()
            self.is_running = False
        await anyio.sleep(LEASE_EXPIRY_S)
        return await anyio.to_thread.run_sync(self._check)

    # Callers

    async def _run_programs(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(self.programs):
                group.start_soon(self._run_program, number)
                await anyio.sleep(self.random.expovariate(2.0))

    async def _run_program(self, number: int) -> None:
        key = f"k{number}"
        is_appraisal = number % 2 == 0
        plan = (
            f"tool find {key} | spawn Check {key}. words=6 | tool reserve {key}"
            if is_appraisal
            else f"tool chain {key} | tool chain {key}b | "
            f"spawn A {key}. & spawn B {key}. | tool grant {key}"
        )
        prompt = f"shared: You work.\nItem {key}\nplan: {plan}\nwords=20"
        service = "appraisal" if is_appraisal else "negotiation"
        outcome = _ProgramOutcome(key, prompt, key)
        self.outcomes.append(outcome)
        body = {"service": service, "prompt": prompt}
        deadline = time.monotonic() + RETRY_PERIOD_S
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S) as http:
            while time.monotonic() < deadline:
                wait_s = await self._send_request(http, outcome, body)
                if wait_s <= 0:
                    return
                await anyio.sleep(wait_s)

    async def _send_request(
        self, http: httpx.AsyncClient, outcome: _ProgramOutcome, body: dict[str, str]
    ) -> float:
        """Send a request once through any entry.

        Returns
        -------
        float
            Seconds until the next attempt; 0 for none.
        """
        url = self.random.choice(self.deployment.entry_urls())
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": outcome.key,
        }
        try:
            response = await http.post(f"{url}/v1/programs", json=body, headers=headers)
            reply = response.json()
        except (httpx.HTTPError, ValueError):
            return 0.5
        if response.status_code == httpx.codes.OK:
            outcome.status, outcome.ran = "done", "yes"
            outcome.answer, outcome.spent_tokens = reply["answer"], reply["spent"]
            return 0.0
        outcome.status, outcome.ran = reply["code"], reply["ran"]
        return float(reply["retry_after_s"])

    # Operators

    async def _race_operators(self) -> None:
        """Have two operators change the same setting from the same revision."""
        number = 0
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S) as http:
            while self.is_running:
                await anyio.sleep(2.0 + self.random.random())
                url = self.deployment.entry_urls()[0]
                config_table = await self._operate(http, url, "show config")
                if "rows" not in config_table:
                    continue
                revision = config_table["rows"][0][0]
                number += 1
                async with anyio.create_task_group() as group:
                    for budget in (BUDGET_TOKENS - number, BUDGET_TOKENS - number - 1):
                        command = (
                            f"set service appraisal budget {budget} "
                            f"if revision {revision}"
                        )
                        group.start_soon(self._send_racing_change, http, url, command)

    async def _send_racing_change(
        self, http: httpx.AsyncClient, url: str, command: str
    ) -> None:
        reply = await self._operate(http, url, command)
        self.race_results[
            "accepted" if "revision" in reply else str(reply.get("code"))
        ] += 1

    async def _operate(
        self, http: httpx.AsyncClient, url: str, command: str
    ) -> dict[str, Any]:
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        try:
            response = await http.post(
                f"{url}/v1/operate", json={"command": command}, headers=headers
            )
            reply: dict[str, Any] = response.json()
        except (httpx.HTTPError, ValueError):
            return {"code": "no answer"}
        return reply

    async def _watch_revisions(self) -> None:
        """Count how often the configuration revision of a daemon decreases."""
        async with httpx.AsyncClient(timeout=2.0) as http:
            while self.is_running:
                for process in list(self.deployment.processes.values()):
                    if not process.address:
                        continue
                    try:
                        response = await http.get(f"http://{process.http}/healthz")
                        reply = response.json()
                    except (httpx.HTTPError, ValueError):
                        continue
                    member = reply["member"]
                    revision = reply["revisions"].get("config", 0)
                    self.revert_count += revision < self.revisions.get(member, 0)
                    self.revisions[member] = revision
                await anyio.sleep(0.5)

    # Faults

    async def _inject_faults(self) -> None:
        actions = {
            "kill side": self._kill_side,
            "freeze side": self._freeze_side,
            "platform outage": self._take_platform_down,
            "lost platform answers": self._drop_platform_responses,
            "silent engine": self._silence_engine,
            "lost service answer": self._drop_service_response,
            "planned stop": self._planned_stop,
            "kill entry": self._kill_entry,
        }
        while self.is_running:
            await anyio.sleep(1.0 + 2.0 * self.random.random())
            kind = self.random.choice(sorted(actions))
            self.fault_counts[kind] += 1
            await actions[kind]()

    def _choose_server(self) -> dict[str, Any]:
        reply: dict[str, Any] = self.random.choice(self.deployment.example["servers"])
        return reply

    async def _kill_side(self) -> None:
        server = self._choose_server()
        name = f"side-{server['name']}"
        self.deployment.kill(name)
        if self.random.random() < 0.5:
            self.deployment.remove_instance(name)
        await anyio.sleep(0.2 + 3.0 * self.random.random())
        await anyio.to_thread.run_sync(self.deployment.start_side, server)
        await self._wait_slots_paired()

    async def _freeze_side(self) -> None:
        name = f"side-{self._choose_server()['name']}"
        self.deployment.signal(name, signal.SIGSTOP)
        await anyio.sleep(1.0 + 5.0 * self.random.random())
        self.deployment.signal(name, signal.SIGCONT)
        await self._wait_slots_paired()

    async def _planned_stop(self) -> None:
        server = self._choose_server()
        name = f"side-{server['name']}"
        self.deployment.signal(name, signal.SIGTERM)
        process = self.deployment.processes[name].popen
        with anyio.move_on_after(60.0):
            while process.poll() is None:
                await anyio.sleep(0.1)
        if process.poll() != 0:
            self.fault_counts["planned stop without a clean exit"] += 1
        self.deployment.kill(name)
        await anyio.to_thread.run_sync(self.deployment.start_side, server)
        await self._wait_slots_paired()

    async def _kill_entry(self) -> None:
        """Kill one of the two entries; callers reconnect through the other."""
        self.deployment.kill("entry-2")
        self.deployment.remove_instance("entry-2")
        await anyio.sleep(1.0 + 2.0 * self.random.random())
        await anyio.to_thread.run_sync(self.deployment.start_entry, "entry-2")

    async def _take_platform_down(self) -> None:
        await self._control(self.deployment.platform_url, mode="down")
        await anyio.sleep(1.0 + 5.0 * self.random.random())
        await self._control(self.deployment.platform_url, mode="up")

    async def _drop_platform_responses(self) -> None:
        await self._control(self.deployment.platform_url, lose=2)

    async def _silence_engine(self) -> None:
        server = self._choose_server()
        if server["kind"] != "model":
            return
        url = self.deployment.backends[server["name"]]
        await self._control(url, silent=True)
        await anyio.sleep(1.0 + 3.0 * self.random.random())
        await self._control(url, silent=False)

    async def _drop_service_response(self) -> None:
        server = self._choose_server()
        if server["kind"] == "plain":
            await self._control(self.deployment.backends[server["name"]], lose=1)

    async def _control(self, url: str, **settings: Any) -> None:
        await anyio.to_thread.run_sync(
            partial(self.deployment.control, url, **settings)
        )

    async def _wait_slots_paired(self) -> None:
        """Wait until every slot has two members, so that failures do not overlap."""
        with anyio.move_on_after(30.0):
            while not await anyio.to_thread.run_sync(self._all_slots_paired):
                await anyio.sleep(0.2)

    def _all_slots_paired(self) -> bool:
        reply = self.deployment.operate("show slots limit 100")
        rows = reply.get("rows", [])
        members = set()
        for name in self.deployment.side_names():
            members.add(self.deployment.health(name)["member"])
        return len(rows) == self.deployment.slots and all(
            primary in members and standby in members
            for _, primary, standby, _, _ in rows
        )

    # Checker

    def _check(self) -> dict[str, int]:
        executed: Counter[str] = Counter()
        for server in self.deployment.example["servers"]:
            if server["kind"] == "plain":
                records = self.deployment.records(
                    self.deployment.backends[server["name"]]
                )
                for record in records:
                    if record["operation"] in ("swaps/reserve", "swaps/grant"):
                        executed[record["argument"]] += 1
        done = [o for o in self.outcomes if o.status == "done"]
        refused = [o for o in self.outcomes if o.status != "done"]
        return {
            "programs started": len(self.outcomes),
            "finished whole": sum(o.answer == final_answer(o.prompt) for o in done),
            "refused or unknown, truthfully": sum(
                o.ran == "unknown" or executed[o.irreversible_argument] == 0
                for o in refused
            ),
            "answers wrong or mixed": sum(
                o.answer != final_answer(o.prompt) for o in done
            ),
            "no answer": sum(o.status == "no answer" for o in self.outcomes),
            "irreversible actions run twice": sum(n > 1 for n in executed.values()),
            "wrong 'not run'": sum(
                o.ran == "no" and executed[o.irreversible_argument] > 0 for o in refused
            ),
            "done without its action": sum(
                executed[o.irreversible_argument] == 0 for o in done
            ),
            "budgets passed": sum(
                o.spent_tokens > BUDGET_TOKENS for o in self.outcomes
            ),
            "held memory left": self._count_cached_programs(),
            "configuration reverts": self.revert_count + self._count_lost_writes(),
        }

    def _count_cached_programs(self) -> int:
        total = 0
        for server in self.deployment.example["servers"]:
            if server["kind"] == "model":
                url = self.deployment.backends[server["name"]]
                total += len(httpx.get(f"{url}/v1/cache/programs").json())
        return total

    def _count_lost_writes(self) -> int:
        """Count the writes in the platform's log that drop earlier accepted changes."""
        lost = 0
        previous: tuple[str, ...] = ()
        log = self.deployment.records(self.deployment.platform_url)["log"]
        for record in log:
            if record["key"] != "config":
                continue
            config = decode_config(base64.b64decode(record["value"]))
            retained = config.changes[: len(config.changes) - 1]
            lost += previous[-len(retained) :] != retained if retained else 0
            previous = config.changes
        return lost


MUST_BE_ZERO: Final = (
    "answers wrong or mixed",
    "no answer",
    "irreversible actions run twice",
    "wrong 'not run'",
    "done without its action",
    "budgets passed",
    "held memory left",
    "configuration reverts",
)


def faults(*, seed: int = 1, programs: int = 60, binary: str = "") -> int:
    """Run programs under seeded faults of real processes, and check the results.

    Parameters
    ----------
    seed : int
        Seed of programs and faults; their timing depends on the machine.
    programs : int
        Programs to start.
    binary : str
        Path of a built binary to run instead of this interpreter.
    """
    run = FaultRun(seed, programs, command_line(binary))
    try:
        counts = anyio.run(run.run)
    finally:
        run.deployment.stop()
    print(f"seed {seed}: faults {dict(sorted(run.fault_counts.items()))}")
    print(f"operators' races: {dict(sorted(run.race_results.items()))}")
    outcomes = Counter(o.status for o in run.outcomes)
    print(f"outcomes: {dict(sorted(outcomes.items()))}")
    for name, value in counts.items():
        marker = "WRONG" if name in MUST_BE_ZERO and value else ""
        print(f"  {name:<34} {value:>5} {marker}")
    return 1 if any(counts[name] for name in MUST_BE_ZERO) else 0
