"""Stand-ins for the platform's store, servers and consumers, and a small deployment.

The scripts in the case folders use it.  It needs the standard library only.  All
addresses are loopback addresses, each machine has one of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "app.example"
ZONES = ("z1", "z2", "z3")
STARTED = time.monotonic()


class CannotRunError(Exception):
    """The case could not be played."""


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self._file.write(f"{now():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Read the chunks of a body; ends without an error only after the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store, as the pages describe it."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, document: object) -> None:
        """Write a key, as the operator or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._put(key, value)

    def _put(self, key: str, value: str) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": 0,
        }
        self._add_event(dict(self.items[key]))

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "rev": self.revision, "removed": True})

    def _add_event(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self._call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script.
            pass
        finally:
            writer.close()

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, item | {"currentRev": self.revision}
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "currentRev": self.revision,
            }
        if url.path == "/v1/kv-watch":
            return 200, await self._watch(query)
        if url.path == "/v1/kv-txn" and method == "POST":
            return self._write(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after, until = int(query["after"]), now() + int(query["waitMs"]) / 1000
        prefix = query.get("prefix", "")
        while True:
            events = [
                event
                for event in self.history
                if event["rev"] > after and str(event["key"]).startswith(prefix)
            ]
            if events or now() >= until:
                return {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(0.0, until - now()))

    def _write(self, call: dict[str, list]) -> tuple[int, object]:
        rows = call.get("precondition", [])
        current = [self.items.get(row["key"]) for row in rows]
        if any(
            (item["rev"] if item else 0) != row["rev"]
            for row, item in zip(rows, current, strict=True)
        ):
            return 412, {"items": [item for item in current if item]}
        for key in call.get("remove", []):
            self.remove(key)
        for put in call.get("puts", []):
            self._put(put["key"], put["value"])
        return 200, {"rev": self.revision}


class Run:
    """A request at a server."""

    def __init__(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method, self.target, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")
        self._writer = writer

    def _head(self, status: str, framing: str, kind: str) -> bytes:
        return (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {self.id}\r\n"
            f"X-Server-Stamp: stamp.{self.id}\r\nContent-Type: {kind}\r\n"
            f"{framing}\r\n\r\n"
        ).encode()

    async def answer(self, body: bytes, status: str = "200 OK") -> None:
        """Send a whole answer."""
        framing = f"Content-Length: {len(body)}"
        self._writer.write(self._head(status, framing, "text/plain") + body)
        await self._writer.drain()

    async def stream(self, events: list[str], gap_s: float) -> None:
        """Send events with ids from 1 on."""
        framing = "Transfer-Encoding: chunked\r\nX-Weight-Versions: 1"
        self._writer.write(self._head("200 OK", framing, "text/event-stream"))
        for number, data in enumerate(events, start=1):
            await asyncio.sleep(gap_s)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            self._writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await self._writer.drain()
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()


class Server:
    """A backend server; it drops a request whose channel closes."""

    def __init__(
        self,
        name: str,
        service: str,
        script: Callable[[Run], Awaitable[None]],
        record: Record,
    ) -> None:
        self.id = name
        self.service = service
        self.address = ""
        self._script = script
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, zone: str) -> dict[str, object]:
        """Return what the server registers in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                run = Run(first, headers, body, writer)
                if headers.get("x-expect-instance") not in (None, self.id):
                    writer.write(
                        f"HTTP/1.1 421 Misdirected\r\nX-Request-Id: {run.id}\r\n"
                        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                    continue
                self._record.write(f"run      {run.id} at {self.id}")
                await self._run(run, reader)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script.
            pass
        finally:
            writer.close()

    async def _run(self, run: Run, reader: asyncio.StreamReader) -> None:
        """Run a request until its end, or until the channel closes."""
        script = asyncio.ensure_future(self._script(run))
        while not script.done():
            await asyncio.wait([script], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                script.cancel()
                self._record.write(f"dropped  {run.id} at {self.id}")
                raise ConnectionResetError
        await script
        self._record.write(f"ran      {run.id} at {self.id}")


class Process:
    """A process of the project."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.popen: subprocess.Popen[bytes] | None = None
        self.log: Path | None = None

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.popen is None or self.popen.poll() is not None

    def ended_by_itself(self) -> bool:
        """Whether the process ended without being killed."""
        return self.popen is not None and self.popen.poll() not in (
            None,
            -signal.SIGKILL,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)


class Deployment:
    """Three keepers, some relays, the store, and servers."""

    def __init__(self, folder: Path, record: Record, relays: int = 1) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        prefix = f"127.{random.randint(10, 240)}.{random.randint(1, 250)}"
        self.store_ip = f"{prefix}.1"
        self.server_ip = f"{prefix}.2"
        self.keepers = [
            Process(f"storage-{n}", "keeper", f"{prefix}.{10 + n}", ZONES[n])
            for n in range(3)
        ]
        self.relays = [
            Process(f"front-{n}", "relay", f"{prefix}.{20 + n}", ZONES[n % 3])
            for n in range(relays)
        ]
        self.internal, self.front, self.ready = free_ports(3)
        self.version = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {
            name: shlex.split(role["run"]) for name, role in deploy["roles"].items()
        }

    def start(self, process: Process, *, bootstrap: bool = True) -> None:
        """Start a process with the command of the deploy file."""
        settings = self.folder / f"{process.name}.toml"
        settings.write_text(self._settings(process, bootstrap))
        process.log = self.folder / f"{process.name}.log"
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["WISTERIASTAIR_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with process.log.open("ab") as log:
            process.popen = subprocess.Popen(
                self._commands[process.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _settings(self, process: Process, bootstrap: bool) -> str:
        is_keeper = process.role == "keeper"
        seeds = json.dumps([f"{k.ip}:{self.internal + 1}" for k in self.keepers])
        listen = ""
        if not is_keeper:
            listen = (
                f'front = "{process.ip}:{self.front}"\n'
                f'ready = "{process.ip}:{self.ready}"\n'
            )
        data_dir = f'dataDir = "{self.folder / (process.name + "-disk")}"\n'
        return (
            f'nodeName = "{process.name}"\nrole = "{process.role}"\n'
            f'machineClass = "{"storage" if is_keeper else "front"}"\n'
            f'serves = ["{"storage" if is_keeper else "front"}"]\n'
            f'ip = "{process.ip}"\nzone = "{process.zone}"\nregion = "r"\n'
            f"internalPorts = [{self.internal},{self.internal}]\nseeds = {seeds}\n"
            f"bootstrap = {str(bootstrap).lower()}\n"
            f"inTolerance = {str(is_keeper).lower()}\n"
            'discovery = "platform"\nentry = "vip"\nheartbeatMs = 1200\n'
            'contracts = ["base","drain","config","cost","recover","agent",'
            '"stream","engine","platform"]\n'
            f"{data_dir if is_keeper else ''}"
            f'[zones]\nz1 = "r"\nz2 = "r"\nz3 = "r"\n[listen]\n{listen}'
            "[limits]\ncpuShare = 0.817\ncores = 1\nmemoryMb = 180\nmaxFds = 4100\n"
            "linkMbps = 1000.0\ndiskMb = 520\n"
            "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
            "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
            "ackMs = 4000\ncatchUpS = 4.9\ndrainMs = 2000\ngraceS = 8\n"
            "lossSlackMs = 200\nconfigMs = 2000\nbackMs = 250\n"
            "maxStretchMs = 5000\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\n"
            "deadlineS = 10\nsettleMs = 1000\n"
            f'[platform]\naddress = "{self.store.address}"\nform = "kv"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            "valueBytes = 1048576\nttlMinMs = 1000\n"
        )

    def configure(self, routes: list[dict[str, object]]) -> None:
        """Write the next version of the config into the store."""
        self.version += 3
        engine = {"slots": 16, "kvCapacityTokens": 500_000, "tokensPerEvent": 25}
        services = [
            {"name": "engines", "healthPath": "/healthz", "maxConns": 180}
            | {"engine": engine},
            {"name": "plain", "healthPath": "/healthz", "maxConns": 110},
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )

    async def start_all(
        self, servers: list[Server], routes: list[dict[str, object]]
    ) -> None:
        """Start everything, and wait until the relays are ready."""
        await self.store.start(self.store_ip)
        for server in servers:
            await server.start(self.server_ip)
            self.store.put(f"servers/{server.id}", server.entry("z1"))
        self.configure(routes)
        for process in (*self.keepers, *self.relays):
            self.start(process)
        deadline = now() + 30
        for relay in self.relays:
            while await self.is_ready(relay) != 200:
                if now() > deadline or relay.has_ended():
                    raise CannotRunError(f"{relay.name} doesn't become ready")
                await asyncio.sleep(0.2)
        # All keepers shall have joined.
        await asyncio.sleep(3)
        self.record.write("all processes are ready")

    async def is_ready(self, relay: Process) -> int:
        """Ask a relay for its readiness as the platform does; 0 without an answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(relay.ip, self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                return int(first.split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    def end(self) -> None:
        """End all processes that were started."""
        for process in (*self.keepers, *self.relays):
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
        for process in (*self.keepers, *self.relays):
            if process.popen is not None:
                process.popen.wait()

    def log_tail(self, process: Process, lines: int = 12) -> str:
        """Return the last lines that a process wrote."""
        if process.log is None:
            return ""
        text = process.log.read_text(errors="replace").splitlines()
        return "\n".join(f"    | {line[:300]}" for line in text[-lines:])


def free_ports(count: int) -> list[int]:
    """Return different ports that are free."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(name: str, kind: str, service: str, **extra: object) -> dict[str, object]:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 1,
        "retainHistory": False,
        "sticky": False,
        "resumable": False,
    } | extra


def request_head(
    method: str, path: str, request_id: str, body: bytes = b"", **headers: str
) -> bytes:
    """Return a request of a consumer."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"X-Request-Id: {request_id}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """What a consumer got: status 0 stands for none, `whole` for a complete one."""

    def __init__(
        self, status: int = 0, body: bytes = b"", *, whole: bool = False, why: str = ""
    ) -> None:
        self.status = status
        self.body = body
        self.whole = whole
        self.why = why

    def __str__(self) -> str:
        state = "whole" if self.whole else f"not whole ({self.why})"
        return f"{self.status or 'no answer'}, {state}, {self.body[:80]!r}"


class Consumer:
    """A consumer with one kept channel to a relay."""

    def __init__(self, deployment: Deployment, relay: Process) -> None:
        self._address = relay.ip, deployment.front
        self._record = deployment.record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the channel."""
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(*self._address)

    async def ask(self, request_id: str, data: bytes, wait_s: float) -> Answer:
        """Send a request and return its answer."""
        if self._writer is None:
            try:
                await self.connect()
            except (OSError, TimeoutError) as exc:
                self._record.write(f"sent     {request_id}: no channel ({exc!r})")
                return Answer(why="no channel")
        assert self._reader is not None and self._writer is not None
        self._record.write(f"sent     {request_id}")
        self._writer.write(data)
        answer = Answer(why="no answer in time")
        try:
            async with asyncio.timeout(wait_s):
                await self._read(answer)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError) as exc:
            answer.why = f"channel closed ({type(exc).__name__})"
        if not answer.whole:
            self.close()
        self._record.write(f"answered {request_id}: {answer}")
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        first, headers = await read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        if headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(self._reader):
                answer.body += chunk
        else:
            answer.body = await read_body(self._reader, headers)
        answer.whole = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def play(
    folder: Path,
    case: Callable[[Deployment, bool], Awaitable[bool]],
    *,
    relays: int = 1,
) -> None:
    """Play a case and exit: 0 the rule held, 1 it was broken, 2 it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {has_trouble}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    deployments: list[Deployment] = []

    async def run() -> bool:
        deployment = Deployment(temporary, record, relays)
        deployments.append(deployment)
        async with asyncio.timeout(110):
            return await case(deployment, has_trouble)

    code = 2
    try:
        code = 0 if asyncio.run(run()) else 1
    except CannotRunError as exc:
        record.write(f"can't run: {exc}")
    except TimeoutError:
        record.write("can't run: the time is over")
    except Exception as exc:
        # An error of the script says nothing of the rule.
        record.write(f"can't run: {exc!r}")
    finally:
        for deployment in deployments:
            deployment.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record.write({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
