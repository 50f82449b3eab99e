"""Runs soaks: ``python -m tests.soak.run --seed 1 --count 20``, or ``make soak``.

Each seed starts three keepers and some relays as processes, with a store and servers
that misbehave.  Callers run programs against the relays while faults are injected.
With ``--stops`` the faults are planned stops, in series and overlapping, and callers
reuse their connections.  Some callers read large responses slowly; with an even seed,
relays have a budget for what they hold and little memory.  Peers leave at any step on
each port of each process, and some responses have no end.  At the end everything must
be served again.  If a seed breaks a guarantee or is not served at the end, its
violations are printed and its folder with the logs is retained.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

import anyio

from tests.platform.standin_store import standin_store
from tests.relay.harness import Caller, Reply
from tests.soak.crashes import FATAL_PREFIX, LATE_WAYS, UNPROVED_WAYS
from tests.soak.customers import (
    API_KEYS,
    FLOODING_CUSTOMER,
    UNKNOWN_KEY,
    assign_customer,
)
from tests.soak.faults import inject_faults
from tests.soak.leavers import ENDLESS_INTERVAL_S, ENDLESS_PREFIX, Leavers
from tests.soak.stops import inject_stops
from tests.soak.witness import (
    LARGE_PREFIX,
    MAX_TOKENS,
    NOT_EXECUTED_STATUSES,
    Failure,
    GuaranteeChecker,
    Turn,
)
from tests.soak.world import SoakDeployment, Variant

CALLER_COUNT: Final = 6
FAULT_COUNT: Final = 4
# Each takes at most the grace period of 8 s plus the time of concurrent faults.
STOP_COUNT: Final = 3
# Limits the callers of a soak with stops.  Two callers for each relay keep every stage
# of a stop busy; more callers than this exceed the slots of the servers.
MAX_CALLERS: Final = 20
# With stops, servers take this many times as long: 0.5 s on average, so that a relay
# has active requests whenever it ends.
SLOW_FACTOR: Final = 8.0
# Requests on a reused connection: one, a few, or all until the relay closes it.
REQUESTS_PER_CONNECTION: Final = (1, 4, 10_000)
# Probability that a request uses an idle connection, if there is one.
REUSE_PROBABILITY: Final = 0.8
# Probability that a new connection goes to a stopping relay, if there is one: a
# platform continues to use all relays when most of them are leaving.
STOPPING_RELAY_PROBABILITY: Final = 0.5
MAX_ATTEMPTS: Final = 4
# Attempts to resume an interrupted program, and the range of pauses before each in
# seconds.  Together they are longer than a restart of processes.
MAX_RESUMPTIONS: Final = 5
RESUMPTION_PAUSE_S: Final = (0.5, 1.0)
# Callers continue for this long after new programs are served, so that each resumes
# the program that the last fault interrupted.
LAST_RESUMPTION_S: Final = 2.0
# Time that a caller waits for a response.
CALLER_TIMEOUT_S: Final = 3.0
# Time after the last fault in which everything must be served again.  Processes start
# in about 1 s, and in several seconds on a busy machine.
RECOVERY_TIMEOUT_S: Final = 30.0
# The callers of the flooding customer send several times its quota.  The pauses of the
# caller with an unknown key are longer, so that it uses little of the machine.
FLOODING_CALLER_COUNT: Final = 3
FLOOD_PAUSE_S: Final = 0.03
UNKNOWN_KEY_PAUSE_S: Final = 0.3
# Callers whose requests crash servers, the attempts of each request, the pauses
# between attempts, and the pause after the last one, in seconds.
FATAL_CALLER_COUNT: Final = 2
FATAL_ATTEMPTS: Final = 8
FATAL_PAUSE_S: Final = (0.0, 0.4)
FATAL_INTERVAL_S: Final = 2.0
# Callers that read large responses slowly, their rates in bytes per second, and the
# time after which they give up.  At the lowest rate they never read all of a response.
SLOW_READER_COUNT: Final = 6
SLOW_READ_RATES: Final = (100_000, 2_000_000)
SLOW_READ_INTERVAL_S: Final = 0.05
SLOW_READ_TIMEOUT_S: Final = 4.0
SLOW_RECEIVE_BUFFER: Final = 8 * 1024


class CrashCounts(NamedTuple):
    """Crashes of servers, and answers of quarantines to innocent requests."""

    crashes: int
    innocents_quarantined: int


class Result(NamedTuple):
    """Result of one seed.

    Attributes
    ----------
    stops : int
        Number of planned stops.
    starved_count : int
        Intervals of 0.25 s in which some process waited too long for a processor.
    excused : list of str
        Failures during planned stops that are excused by an unplanned event.
    """

    seed: int
    faults: list[str]
    status_counts: dict[int, int]
    stops: int
    starved_count: int
    excused: list[str]
    violations: list[str]
    crash_counts: CrashCounts


class RelayConnection(NamedTuple):
    """A connection of a caller to a relay, and the requests it may still send."""

    relay: str
    caller: Caller
    requests_left: int


class Callers:
    """Callers that run programs.

    Parameters
    ----------
    reuse_connections : bool
        Whether connections are reused until the relay closes them.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        checker: GuaranteeChecker,
        rng: random.Random,
        reuse_connections: bool = False,
    ) -> None:
        self.stopped = False
        self._reuse_connections = reuse_connections
        self._idle_connections: list[RelayConnection] = []
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._id_count = 0
        # Programs that ended with status 402 or 404.
        self._ended_programs: set[str] = set()

    async def run_programs(self, caller: str) -> None:
        """Run one program after another until stopped."""
        number = 0
        while not self.stopped:
            number += 1
            await self.run_program(f"{caller}-{number}")

    async def run_program(self, program: str) -> bool:
        """Run one program; return whether all its turns were served."""
        budget = self._rng.choice((400, 5_000))
        history = previous_id = ""
        for _ in range(self._rng.randint(2, 5)):
            turn = await self._send_turn(program, budget, previous_id, history)
            for _ in range(MAX_RESUMPTIONS if previous_id else 0):
                if turn is not None or program in self._ended_programs or self.stopped:
                    break
                await anyio.sleep(self._rng.uniform(*RESUMPTION_PAUSE_S))
                turn = await self._send_turn(program, budget, previous_id, history)
            if turn is None:
                return False
            previous_id, history = turn.id, turn.history_after()
            await self._send_call(
                self._rng.choice(("safe", "unsafe")), assign_customer(program)
            )
        return True

    async def _send_turn(
        self, program: str, budget: int, previous_id: str, history: str
    ) -> Turn | None:
        for _ in range(MAX_ATTEMPTS):
            turn_id = self._next_id("t")
            turn = Turn(turn_id, program, previous_id, history, f"ask {turn_id}.")
            self._checker.record_turn(turn, budget)
            extra_headers = {"X_Previous_Turn": previous_id} if previous_id else {}
            extra_headers |= self._auth_header(turn.id, assign_customer(program))
            reply = await self._send(
                "turn",
                turn.id,
                turn.message,
                X_Program_Id=program,
                X_Token_Usage=f"10,{MAX_TOKENS}",
                X_Token_Budget=str(budget),
                **extra_headers,
            )
            if reply.status == 200 and reply.whole:
                return turn
            if reply.status in (402, 404):
                self._ended_programs.add(program)
                return None
            await anyio.sleep(self._rng.uniform(0.1, 0.4))
        return None

    async def flood_requests(self) -> None:
        """Send requests of one customer far above its quota, until stopped."""
        while not self.stopped:
            await self._send_call("unsafe", FLOODING_CUSTOMER)
            await anyio.sleep(FLOOD_PAUSE_S)

    async def send_unknown_key(self) -> None:
        """Send requests with an API key of no customer, until stopped.

        They are not recorded as sent, so the checker reports any that is executed.
        """
        while not self.stopped:
            key = {"Authorization": f"Bearer {UNKNOWN_KEY}"}
            reply = await self._send("unsafe", self._next_id("x"), "", **key)
            if reply.status == 200:
                self._checker.violations.append(
                    "key: a request with an unknown key was served"
                )
            await anyio.sleep(UNKNOWN_KEY_PAUSE_S)

    async def read_slowly(self) -> None:
        """Send requests with large responses and read them slowly, until stopped.

        Their failures are not recorded: a relay may close the connection of a caller
        that reads too slowly, and the caller may give up.  All other checks apply.
        """
        while not self.stopped:
            request_id = self._next_id(LARGE_PREFIX)
            self._checker.record_request(request_id, "unsafe")
            headers = self._auth_header(request_id, assign_customer(request_id))
            relay = self._rng.choice(self._deployment.relay_names)
            rate = self._rng.uniform(*SLOW_READ_RATES)
            caller = await self._deployment.open_connection(relay, SLOW_RECEIVE_BUFFER)
            if caller is not None:
                with anyio.move_on_after(SLOW_READ_TIMEOUT_S):
                    await self._read_slowly(caller, request_id, headers, rate)
                caller.writer.close()
            await anyio.sleep(SLOW_READ_INTERVAL_S)

    async def _read_slowly(
        self, caller: Caller, request_id: str, headers: dict[str, str], rate: float
    ) -> None:
        try:
            await caller.send("unsafe", request_id, **headers)
            head = (await caller.reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            body = b""
            while len(body) < length:
                await anyio.sleep(SLOW_READ_INTERVAL_S)
                size = min(int(rate * SLOW_READ_INTERVAL_S), length - len(body))
                body += await caller.reader.readexactly(size)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The relay closed the connection: the outcome is unknown.
            return
        status = int(head.split(" ")[1])
        self._checker.record_response(request_id, status, body, True)

    async def send_fatal(self, caller: str, rng: random.Random) -> None:
        """Send requests that crash servers, each several times, until stopped."""
        number = 0
        while not self.stopped:
            number += 1
            body = f"{FATAL_PREFIX}{caller}-{number}"
            name = rng.choice(("turn", "unsafe"))
            for attempt in range(FATAL_ATTEMPTS):
                if self.stopped:
                    break
                request_id = f"{body}-{attempt}"
                self._checker.record_request(request_id, name)
                auth = self._auth_header(request_id, assign_customer(body))
                program = {"X_Program_Id": body, "X_Token_Usage": f"10,{MAX_TOKENS}"}
                await self._send(name, request_id, body, **program, **auth)
                await anyio.sleep(rng.uniform(*FATAL_PAUSE_S))
            await anyio.sleep(FATAL_INTERVAL_S)

    async def send_endless(self) -> None:
        """Send requests whose response has no end, until stopped."""
        relays = self._deployment.relay_names
        number = 0
        while not self.stopped:
            number += 1
            request_id = f"{ENDLESS_PREFIX}-{number}"
            caller = await self._deployment.open_connection(
                relays[number % len(relays)]
            )
            if caller is not None:
                with anyio.move_on_after(CALLER_TIMEOUT_S):
                    await self._send_endless_once(caller, request_id)
                caller.writer.close()
            await anyio.sleep(ENDLESS_INTERVAL_S)

    async def _send_endless_once(self, caller: Caller, request_id: str) -> None:
        auth = self._auth_header(request_id, assign_customer(request_id))
        try:
            await caller.send("unsafe", request_id, **auth)
            reply = await caller.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            # The relay ended with the connection.
            return
        if reply.status == 200:
            self._checker.violations.append(f"endless: {request_id} was answered")

    async def _send_call(self, kind: str, customer: str) -> None:
        request_id = self._next_id(kind[0])
        self._checker.record_request(request_id, kind)
        await self._send(
            kind, request_id, "", **self._auth_header(request_id, customer)
        )

    def _auth_header(self, request_id: str, customer: str) -> dict[str, str]:
        self._checker.record_customer(request_id, customer)
        return {"Authorization": f"Bearer {API_KEYS[customer]}"}

    async def _send(
        self, route: str, request_id: str, body: str, **extra_headers: str
    ) -> Reply:
        reply = Reply(0, "", b"", False)
        conn = await self._take_connection()
        if conn is not None:
            sent_at = 0.0
            try:
                with anyio.move_on_after(CALLER_TIMEOUT_S):
                    await conn.caller.send(route, request_id, body, **extra_headers)
                    sent_at = time.monotonic()
                    reply = await conn.caller.read()
            except (ConnectionError, asyncio.IncompleteReadError):
                # The relay ended with the connection: the outcome is unknown.
                pass
            has_response = reply.whole and reply.status in (
                200,
                401,
                404,
                *NOT_EXECUTED_STATUSES,
            )
            if sent_at and not has_response:
                now = time.monotonic()
                self._checker.record_failure(
                    Failure(request_id, conn.relay, sent_at, now, reply.status)
                )
            closes = not reply.whole or "connection: close" in reply.head.lower()
            if closes or conn.requests_left <= 1:
                conn.caller.writer.close()
            else:
                self._idle_connections.append(
                    conn._replace(requests_left=conn.requests_left - 1)
                )
        self._checker.record_response(request_id, reply.status, reply.body, reply.whole)
        return reply

    async def _take_connection(self) -> RelayConnection | None:
        """Return an idle connection, or open one."""
        rng = self._rng
        if not self._reuse_connections:
            relay = rng.choice(self._deployment.relay_names)
            caller = await self._deployment.open_connection(relay)
            return RelayConnection(relay, caller, 1) if caller else None
        while self._idle_connections and rng.random() < REUSE_PROBABILITY:
            conn = self._idle_connections.pop(
                rng.randrange(len(self._idle_connections))
            )
            if not conn.caller.reader.at_eof():
                return conn
            conn.caller.writer.close()
        stopping = [
            n for n in self._deployment.stopping if n in self._deployment.relay_names
        ]
        if not stopping or rng.random() >= STOPPING_RELAY_PROBABILITY:
            stopping = list(self._deployment.relay_names)
        relay = rng.choice(stopping)
        caller = await self._deployment.open_connection(relay)
        return (
            RelayConnection(relay, caller, rng.choice(REQUESTS_PER_CONNECTION))
            if caller
            else None
        )

    def _next_id(self, prefix: str) -> str:
        self._id_count += 1
        return f"{prefix}{self._id_count}"


async def soak(
    seed: int,
    folder: Path,
    variant: Variant | None = None,
    stops: bool = False,
    relays: int = 2,
    crashes: bool = False,
    late_crashes: bool = False,
    unproved_crashes: bool = False,
) -> Result:
    """Run one seed.

    Parameters
    ----------
    stops : bool
        Whether its faults are planned stops and concurrent faults.
    crashes : bool
        Whether some requests crash the servers that start them.
    late_crashes : bool
        Whether this shows later than the request ends.
    unproved_crashes : bool
        Whether these servers also end after answers or words that do not show it.
    """
    rng = random.Random(f"{seed} callers and servers")
    # A separate generator makes the faults of a seed the same in each run.
    faults_rng = random.Random(f"{seed} faults")
    checker = GuaranteeChecker()
    ways: tuple[str, ...] = LATE_WAYS if late_crashes else ()
    if unproved_crashes:
        ways = UNPROVED_WAYS
    async with standin_store() as store:
        slow_factor = SLOW_FACTOR if stops else 1.0
        deployment = SoakDeployment(
            folder,
            store,
            checker,
            rng,
            variant,
            relays,
            slow_factor,
            has_pressure=seed % 2 == 0,
            crash_ways=ways,
        )
        await deployment.start_servers()
        for name in deployment.machines:
            deployment.start(name)
        callers = Callers(deployment, checker, rng, reuse_connections=stops)
        leavers = Leavers(deployment.targets(), random.Random(f"{seed} leavers"))
        caller_count = (
            min(max(CALLER_COUNT, 2 * relays + 4), MAX_CALLERS)
            if stops
            else CALLER_COUNT
        )
        try:
            await _wait_served(callers, "start")
            async with anyio.create_task_group() as group:
                group.start_soon(deployment.supervise)
                for _ in range(FLOODING_CALLER_COUNT):
                    group.start_soon(callers.flood_requests)
                group.start_soon(callers.send_unknown_key)
                group.start_soon(callers.send_endless)
                group.start_soon(leavers.run)
                group.start_soon(deployment.replace_crashed_servers)
                for number in range(FATAL_CALLER_COUNT if crashes or ways else 0):
                    fatal_rng = random.Random(f"{seed} fatal {number}")
                    group.start_soon(callers.send_fatal, str(number), fatal_rng)
                for _ in range(SLOW_READER_COUNT):
                    group.start_soon(callers.read_slowly)
                if stops:
                    group.start_soon(deployment.watch_cpu_starvation)
                for number in range(caller_count):
                    group.start_soon(callers.run_programs, f"p{number}")
                if stops:
                    faults = await inject_stops(deployment, faults_rng, STOP_COUNT)
                else:
                    faults = await inject_faults(deployment, faults_rng, FAULT_COUNT)
                served = await _wait_served(callers, "end")
                await anyio.sleep(LAST_RESUMPTION_S)
                callers.stopped = leavers.stopped = True
                deployment.stopped = True
            if not served:
                checker.violations.append(
                    f"not served {RECOVERY_TIMEOUT_S} s after {faults}: "
                    f"{deployment.describe_processes()}"
                )
        finally:
            deployment.kill_all()
            for server in deployment.servers:
                server.stop()
    violations = checker.find_violations()
    status_counts = dict(checker.status_counts)
    counts = (len(checker.stops), len(checker.starved_intervals))
    crash_counts = CrashCounts(
        checker.crashes.crash_count(), checker.crashes.innocents_quarantined
    )
    return Result(
        seed,
        faults,
        status_counts,
        *counts,
        checker.excused,
        violations,
        crash_counts,
    )


async def _wait_served(callers: Callers, program_prefix: str) -> bool:
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        number = 0
        while not await callers.run_program(f"{program_prefix}-{number}"):
            number += 1
        return True
    return False


def main() -> int:
    """Run the soaks that the command line asks for."""
    parser = argparse.ArgumentParser(description="fault soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--relays", type=int, default=2)
    parser.add_argument("--stops", action="store_true", help="play planned work")
    parser.add_argument(
        "--crashes", action="store_true", help="play requests that crash servers"
    )
    parser.add_argument(
        "--late-crashes",
        action="store_true",
        help="the same, and a crash shows after its request has ended",
    )
    parser.add_argument(
        "--unproved-crashes",
        action="store_true",
        help="the same, after answers and words that prove nothing of it as well",
    )
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = anyio.run(
            soak,
            seed,
            folder,
            None,
            args.stops,
            args.relays,
            args.crashes,
            args.late_crashes,
            args.unproved_crashes,
        )
        status_counts = " ".join(
            f"{s}:{n}" for s, n in sorted(result.status_counts.items())
        )
        faults = ", ".join(result.faults)
        print(
            f"seed {seed}: {faults}; stops {result.stops}, held up "
            f"{result.starved_count} times; crashes {result.crash_counts.crashes}, "
            f"innocents quarantined {result.crash_counts.innocents_quarantined}; "
            f"answers {status_counts}",
            flush=True,
        )
        for line in result.excused:
            print(f"  excused {line}", flush=True)
        for line in result.violations:
            print(f"  BROKEN {line}; logs in {folder}", flush=True)
        failed += bool(result.violations)
        if result.crash_counts.innocents_quarantined and not result.violations:
            print(f"  logs in {folder}", flush=True)
        elif not result.violations:
            shutil.rmtree(folder)
    print(f"{args.count} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
