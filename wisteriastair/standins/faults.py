"""The fault run: real processes, seeded faults, and a checker.

Side processes are killed and frozen, an entry is killed, the platform goes down and
loses answers, engines go silent, a service loses an answer after the execution, and
operators race, while callers of both workloads run programs.  The checker takes its
facts from the records of the stand-ins and from what callers received.
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
    command_for,
    default_folder,
)
from .script import final_answer

CALL_TIMEOUT_S: Final = 60.0
GIVE_UP_S: Final = 120.0
HOLD_S: Final = 30.0
BUDGET: Final = 40_000
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


class _Outcome:
    """What one caller was told in the end."""

    def __init__(self, key: str, prompt: str, once: str) -> None:
        self.key = key
        self.prompt = prompt
        self.once = once
        self.status = "no answer"
        self.ran = "unknown"
        self.answer = ""
        self.spent = 0


class FaultRun:
    """One seeded run."""

    def __init__(self, seed: int, programs: int, command: tuple[str, ...]) -> None:
        self.random = Random(seed)
        self.programs = programs
        self.outcomes: list[_Outcome] = []
        self.deployment = Deployment(
            tomllib.loads(EXAMPLE), default_folder() / f"faults-{seed}", command
        )
        self.faults: Counter[str] = Counter()
        self.races = Counter[str]()
        self.revisions: dict[str, int] = {}
        self.reverted = 0
        self.working = True

    async def run(self) -> dict[str, int]:
        """Run programs and faults, then check."""
        await anyio.to_thread.run_sync(self.deployment.start)
        await anyio.to_thread.run_sync(self.deployment.configure)
        async with anyio.create_task_group() as group:
            group.start_soon(self._make_faults)
            group.start_soon(self._race_operators)
            group.start_soon(self._watch_revisions)
            await self._run_programs()
            self.working = False
        await anyio.sleep(HOLD_S)
        return await anyio.to_thread.run_sync(self._check)

    # Callers

    async def _run_programs(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(self.programs):
                group.start_soon(self._run_one, number)
                await anyio.sleep(self.random.expovariate(2.0))

    async def _run_one(self, number: int) -> None:
        key = f"k{number}"
        short = number % 2 == 0
        plan = (
            f"tool find {key} | spawn Check {key}. words=6 | tool reserve {key}"
            if short
            else f"tool chain {key} | tool chain {key}b | "
            f"spawn A {key}. & spawn B {key}. | tool grant {key}"
        )
        prompt = f"shared: You work.\nItem {key}\nplan: {plan}\nwords=20"
        service = "appraisal" if short else "negotiation"
        outcome = _Outcome(key, prompt, key)
        self.outcomes.append(outcome)
        body = {"service": service, "prompt": prompt}
        end = time.monotonic() + GIVE_UP_S
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S) as http:
            while time.monotonic() < end:
                wait_s = await self._ask(http, outcome, body)
                if wait_s <= 0:
                    return
                await anyio.sleep(wait_s)

    async def _ask(
        self, http: httpx.AsyncClient, outcome: _Outcome, body: dict[str, str]
    ) -> float:
        """Ask once through any entry; seconds until the next try, 0 for none."""
        url = self.random.choice(self.deployment.entries())
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": outcome.key,
        }
        try:
            answer = await http.post(f"{url}/v1/programs", json=body, headers=headers)
            found = answer.json()
        except (httpx.HTTPError, ValueError):
            return 0.5
        if answer.status_code == httpx.codes.OK:
            outcome.status, outcome.ran = "done", "yes"
            outcome.answer, outcome.spent = found["answer"], found["spent"]
            return 0.0
        outcome.status, outcome.ran = found["code"], found["ran"]
        return float(found["retry_after_s"])

    # Operators

    async def _race_operators(self) -> None:
        """Let two operators change the same thing from the same revision."""
        number = 0
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S) as http:
            while self.working:
                await anyio.sleep(2.0 + self.random.random())
                url = self.deployment.entries()[0]
                seen = await self._operate(http, url, "show config")
                if "rows" not in seen:
                    continue
                revision = seen["rows"][0][0]
                number += 1
                async with anyio.create_task_group() as group:
                    for budget in (BUDGET - number, BUDGET - number - 1):
                        command = (
                            f"set service appraisal budget {budget} "
                            f"if revision {revision}"
                        )
                        group.start_soon(self._race_one, http, url, command)

    async def _race_one(self, http: httpx.AsyncClient, url: str, command: str) -> None:
        found = await self._operate(http, url, command)
        self.races["accepted" if "revision" in found else str(found.get("code"))] += 1

    async def _operate(
        self, http: httpx.AsyncClient, url: str, command: str
    ) -> dict[str, Any]:
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        try:
            answer = await http.post(
                f"{url}/v1/operate", json={"command": command}, headers=headers
            )
            found: dict[str, Any] = answer.json()
        except (httpx.HTTPError, ValueError):
            return {"code": "no answer"}
        return found

    async def _watch_revisions(self) -> None:
        """Note every daemon's configuration; it must never go back."""
        async with httpx.AsyncClient(timeout=2.0) as http:
            while self.working:
                for process in list(self.deployment.processes.values()):
                    if not process.address:
                        continue
                    try:
                        answer = await http.get(f"http://{process.http}/healthz")
                        found = answer.json()
                    except (httpx.HTTPError, ValueError):
                        continue
                    member = found["member"]
                    revision = found["revisions"].get("config", 0)
                    self.reverted += revision < self.revisions.get(member, 0)
                    self.revisions[member] = revision
                await anyio.sleep(0.5)

    # Faults

    async def _make_faults(self) -> None:
        kinds = {
            "kill side": self._kill_side,
            "freeze side": self._freeze_side,
            "platform outage": self._outage,
            "lost platform answers": self._lose_answers,
            "silent engine": self._silence,
            "lost service answer": self._lose_service_answer,
            "planned stop": self._planned_stop,
            "kill entry": self._kill_entry,
        }
        while self.working:
            await anyio.sleep(1.0 + 2.0 * self.random.random())
            kind = self.random.choice(sorted(kinds))
            self.faults[kind] += 1
            await kinds[kind]()

    def _server(self) -> dict[str, Any]:
        found: dict[str, Any] = self.random.choice(self.deployment.example["servers"])
        return found

    async def _kill_side(self) -> None:
        server = self._server()
        name = f"side-{server['name']}"
        self.deployment.kill(name)
        if self.random.random() < 0.5:
            self.deployment.unlist(name)
        await anyio.sleep(0.2 + 3.0 * self.random.random())
        await anyio.to_thread.run_sync(self.deployment.start_side, server)
        await self._settle()

    async def _freeze_side(self) -> None:
        name = f"side-{self._server()['name']}"
        self.deployment.signal(name, signal.SIGSTOP)
        await anyio.sleep(1.0 + 5.0 * self.random.random())
        self.deployment.signal(name, signal.SIGCONT)
        await self._settle()

    async def _planned_stop(self) -> None:
        server = self._server()
        name = f"side-{server['name']}"
        self.deployment.signal(name, signal.SIGTERM)
        process = self.deployment.processes[name].popen
        with anyio.move_on_after(60.0):
            while process.poll() is None:
                await anyio.sleep(0.1)
        if process.poll() != 0:
            self.faults["planned stop without a clean exit"] += 1
        self.deployment.kill(name)
        await anyio.to_thread.run_sync(self.deployment.start_side, server)
        await self._settle()

    async def _kill_entry(self) -> None:
        """Kill one of two entries; callers reconnect through the other."""
        self.deployment.kill("entry-2")
        self.deployment.unlist("entry-2")
        await anyio.sleep(1.0 + 2.0 * self.random.random())
        await anyio.to_thread.run_sync(self.deployment.start_entry, "entry-2")

    async def _outage(self) -> None:
        await self._control(self.deployment.platform_url, mode="down")
        await anyio.sleep(1.0 + 5.0 * self.random.random())
        await self._control(self.deployment.platform_url, mode="up")

    async def _lose_answers(self) -> None:
        await self._control(self.deployment.platform_url, lose=2)

    async def _silence(self) -> None:
        server = self._server()
        if server["kind"] != "model":
            return
        url = self.deployment.backends[server["name"]]
        await self._control(url, silent=True)
        await anyio.sleep(1.0 + 3.0 * self.random.random())
        await self._control(url, silent=False)

    async def _lose_service_answer(self) -> None:
        server = self._server()
        if server["kind"] == "plain":
            await self._control(self.deployment.backends[server["name"]], lose=1)

    async def _control(self, url: str, **wanted: Any) -> None:
        await anyio.to_thread.run_sync(partial(self.deployment.control, url, **wanted))

    async def _settle(self) -> None:
        """Wait until every slot has two members again: one failure at a time."""
        with anyio.move_on_after(30.0):
            while not await anyio.to_thread.run_sync(self._paired):
                await anyio.sleep(0.2)

    def _paired(self) -> bool:
        found = self.deployment.operate("show slots limit 100")
        rows = found.get("rows", [])
        members = set()
        for name in self.deployment.sides():
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
                o.ran == "unknown" or executed[o.once] == 0 for o in refused
            ),
            "answers wrong or mixed": sum(
                o.answer != final_answer(o.prompt) for o in done
            ),
            "no answer": sum(o.status == "no answer" for o in self.outcomes),
            "irreversible actions run twice": sum(n > 1 for n in executed.values()),
            "wrong 'not run'": sum(
                o.ran == "no" and executed[o.once] > 0 for o in refused
            ),
            "done without its action": sum(executed[o.once] == 0 for o in done),
            "budgets passed": sum(o.spent > BUDGET for o in self.outcomes),
            "held memory left": self._held(),
            "configuration reverts": self.reverted + self._writes_lost(),
        }

    def _held(self) -> int:
        total = 0
        for server in self.deployment.example["servers"]:
            if server["kind"] == "model":
                url = self.deployment.backends[server["name"]]
                total += len(httpx.get(f"{url}/v1/cache/programs").json())
        return total

    def _writes_lost(self) -> int:
        """Count accepted changes that a later write of the platform's log dropped."""
        lost = 0
        seen: tuple[str, ...] = ()
        log = self.deployment.records(self.deployment.platform_url)["log"]
        for record in log:
            if record["key"] != "config":
                continue
            config = decode_config(base64.b64decode(record["value"]))
            kept = config.changes[: len(config.changes) - 1]
            lost += seen[-len(kept) :] != kept if kept else 0
            seen = config.changes
        return lost


FORBIDDEN: Final = (
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
    """Run programs under seeded faults of real processes, and check.

    Parameters
    ----------
    seed : int
        Seed of programs and faults (their timing is the machine's).
    programs : int
        Programs to start.
    binary : str
        Path of a built binary to run instead of this interpreter.
    """
    run = FaultRun(seed, programs, command_for(binary))
    try:
        table = anyio.run(run.run)
    finally:
        run.deployment.stop()
    print(f"seed {seed}: faults {dict(sorted(run.faults.items()))}")
    print(f"operators' races: {dict(sorted(run.races.items()))}")
    outcomes = Counter(o.status for o in run.outcomes)
    print(f"outcomes: {dict(sorted(outcomes.items()))}")
    for name, value in table.items():
        mark = "WRONG" if name in FORBIDDEN and value else ""
        print(f"  {name:<34} {value:>5} {mark}")
    return 1 if any(table[name] for name in FORBIDDEN) else 0
