"""A complete deployment on one machine: daemons and stand-ins as separate processes.

Used by the demonstration, the fault runs and the measurements.  It acts as the users'
platform: it starts and ends processes and maintains the instance list.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
import uuid
from pathlib import Path
from typing import Any, Final, NamedTuple

import httpx

HOST: Final = "127.0.0.1"
START_TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.05
STOP_TIMEOUT_S: Final = 20.0
CALLER_TOKEN: Final = "caller-token"
OPERATOR_TOKEN: Final = "operator-token"


INTERPRETER_COMMAND: Final = (sys.executable, "-m", "wisteriastair")


class Process(NamedTuple):
    """A process of the deployment; `address` and `http` are IP:PORT or empty."""

    name: str
    popen: subprocess.Popen[bytes]
    address: str
    http: str


# Ports of addresses that are given out, below those that the system assigns to
# connections and to listeners on port 0.
_PORTS: Final = range(10_000, 32_000)
# Datagram sockets that keep other processes from giving out the same ports.
_reservations: list[socket.socket] = []


def free_address() -> str:
    """Return an address (IP:PORT) that this process alone may give to a listener."""
    while True:
        port = random.choice(_PORTS)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return f"{HOST}:{port}"


def command_line(binary: str) -> tuple[str, ...]:
    """Return the command that runs a built binary, or this interpreter if empty."""
    return (binary,) if binary else INTERPRETER_COMMAND


def read_example(path: Path) -> dict[str, Any]:
    """Read the description of a deployment."""
    return tomllib.loads(path.read_text("utf-8"))


class Deployment:
    """Starts, controls and ends the processes.

    Parameters
    ----------
    example : dict
        Description, in the format of the files in ``examples/``.
    folder : Path
        Folder for logs and spans.
    command : tuple of str
        Command that runs the program.
    """

    def __init__(
        self,
        example: dict[str, Any],
        folder: Path,
        command: tuple[str, ...] = INTERPRETER_COMMAND,
    ) -> None:
        self.example = example
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.backends: dict[str, str] = {}
        self.platform_url = ""
        self.slots = int(example.get("slots", 16))
        self.bare_side_count = 0
        self.extra_side_args: tuple[str, ...] = ()
        self._name = uuid.uuid4().hex
        self._command = command
        self._client = httpx.Client(timeout=10.0)

    # Processes

    def start(self, entry_count: int = 2) -> None:
        """Start everything and wait until it is ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        for server in self.example["servers"]:
            self.start_backend(server)
        for server in self.example["servers"]:
            self.start_side(server)
        for number in range(self.bare_side_count):
            domains = self.example["domains"]
            self.start_bare_side(domains[(number + 1) % len(domains)])
        for number in range(entry_count):
            self.start_entry(f"entry-{number + 1}")
        self.wait_slots_placed()

    def _start_platform(self) -> None:
        http = free_address()
        self._spawn("platform", "standin-platform", ["--http", http], "", http)
        self.platform_url = f"http://{http}"
        self._wait_http(f"{self.platform_url}/v1/instances")

    def start_backend(self, server: dict[str, Any]) -> None:
        """Start the stand-in of a backend server."""
        http = free_address()
        args = ["--http", http, *server.get("args", [])]
        if server["kind"] == "model":
            args += ["--models", *server["models"]]
        kind = "engine" if server["kind"] == "model" else "service"
        self._spawn(server["name"], f"standin-{kind}", args, "", http)
        self.backends[server["name"]] = f"http://{http}"
        self._wait_http(f"http://{http}/records")

    def start_side(self, server: dict[str, Any], name: str = "") -> str:
        """Start the side process beside a backend server; return its name."""
        name = name or f"side-{server['name']}"
        address, http = free_address(), free_address()
        flag = "--models" if server["kind"] == "model" else "--plain"
        backend = f"{server['name']}={self.backends[server['name']]}"
        args = [flag, backend, "--domain", server["domain"], *self.extra_side_args]
        self._start_daemon(name, "side", address, http, args)
        servers = [server["name"]]
        self.add_instance(name, "side", address, server["domain"], servers)
        return name

    def start_bare_side(self, domain: str) -> None:
        """Start a side process with no backend server."""
        number = len([name for name in self.processes if name.startswith("side-bare")])
        name = f"side-bare-{number}"
        address, http = free_address(), free_address()
        args = ["--domain", domain, *self.extra_side_args]
        self._start_daemon(name, "side", address, http, args)
        self.add_instance(name, "side", address, domain, [])

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        address, http = free_address(), free_address()
        number = len([p for p in self.processes if p.startswith("entry")])
        domains = self.example["domains"]
        domain = domains[number % len(domains)]
        args = ["--domain", domain, "--patience-s", "25"]
        args += ["--caller-tokens", f"{self.example['customer']}={CALLER_TOKEN}"]
        args += ["--operator-tokens", f"operator={OPERATOR_TOKEN}"]
        self._start_daemon(name, "entry", address, http, args)
        self.add_instance(name, "entry", address, domain, [])

    def _start_daemon(
        self, name: str, kind: str, address: str, http: str, args: list[str]
    ) -> None:
        common = ["--listen", address, "--http", http]
        common += ["--platform-url", self.platform_url, "--slots", str(self.slots)]
        common += ["--deployment", self._name]
        common += ["--trace-file", str(self.folder / "spans.jsonl")]
        self._spawn(name, kind, [*common, *args], address, http)
        self._wait_http(f"http://{http}/healthz")

    def _spawn(
        self, name: str, kind: str, args: list[str], address: str, http: str
    ) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            popen = subprocess.Popen(
                [*self._command, kind, *args], stdout=log, stderr=log
            )
        self.processes[name] = Process(name, popen, address, http)

    def _wait_http(self, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if self._client.get(url).status_code == httpx.codes.OK:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{url} did not answer")

    def wait_slots_placed(self) -> None:
        """Wait until every entry has a complete slot table."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(self._has_placed_slots(url) for url in self.entry_urls()):
            if time.monotonic() > deadline:
                raise TimeoutError("the slots were not placed")
            time.sleep(POLL_INTERVAL_S)

    def _has_placed_slots(self, url: str) -> bool:
        return bool(self._client.get(f"{url}/healthz").json()["placed"])

    # Platform

    def add_instance(
        self, name: str, role: str, address: str, domain: str, servers: list[str]
    ) -> None:
        """Add an instance to the platform's list."""
        row = {"name": name, "role": role, "address": address, "domain": domain}
        body = {**row, "servers": servers, "leaving": False}
        self._client.put(f"{self.platform_url}/v1/instances/{name}", json=body)

    def remove_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self._client.delete(f"{self.platform_url}/v1/instances/{name}")

    def control(self, url: str, **settings: Any) -> None:
        """Set the faults of a stand-in."""
        self._client.post(f"{url}/control", json=settings)

    def records(self, url: str) -> Any:
        """Read a stand-in's records."""
        return self._client.get(f"{url}/records").json()

    def health(self, name: str) -> Any:
        """Read the health report of a daemon."""
        http = self.processes[name].http
        return self._client.get(f"http://{http}/healthz").json()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.processes[name].popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self.processes.pop(name)
        process.popen.kill()
        process.popen.wait()

    # Callers and operators

    def entry_urls(self) -> list[str]:
        """Return the base URLs of the entries."""
        running = [p for p in self.processes.values() if p.name.startswith("entry")]
        return [f"http://{p.http}" for p in running]

    def side_names(self) -> list[str]:
        """Return the names of the side processes."""
        return [name for name in self.processes if name.startswith("side")]

    def operate(self, command: str, change: str = "", entry: int = 0) -> Any:
        """Send a command of an operator."""
        response = self._client.post(
            f"{self.entry_urls()[entry]}/v1/operate",
            json={"command": command, "change": change},
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return response.json()

    def configure(self) -> int:
        """Send the example's commands; return the newest revision."""
        revision = 0
        for command in self.example["commands"]:
            body = self.operate(command)
            if "revision" not in body:
                raise ValueError(f"{command}: {body}")
            revision = body["revision"]
        return revision

    def wait_revision(self, revision: int) -> None:
        """Wait until every daemon has at least this configuration revision."""
        deadline = time.monotonic() + START_TIMEOUT_S
        names = [
            *self.side_names(),
            *(n for n in self.processes if n.startswith("entry")),
        ]
        for name in names:
            while self.health(name)["revisions"].get("config", 0) < revision:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} did not receive revision {revision}")
                time.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """End every process of this deployment."""
        for process in self.processes.values():
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
        for process in self.processes.values():
            process.popen.wait(STOP_TIMEOUT_S)
        self._client.close()
        self.processes.clear()


def log_folder() -> Path:
    """Return the folder for the logs of runs."""
    return Path(os.environ.get("WISTERIASTAIR_OUT", "out"))
