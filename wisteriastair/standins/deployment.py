"""A whole deployment on one machine: daemons and stand-ins as separate processes.

Used by the demonstration, the fault runs and the measurements.  It plays the part of
the users' platform: it starts and ends processes and keeps the instance list.
"""

from __future__ import annotations

import os
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
START_S: Final = 30.0
POLL_S: Final = 0.05
STOP_S: Final = 20.0
CALLER_TOKEN: Final = "caller-token"
OPERATOR_TOKEN: Final = "operator-token"


INTERPRETED: Final = (sys.executable, "-m", "wisteriastair")


class Process(NamedTuple):
    """One process of the deployment."""

    name: str
    popen: subprocess.Popen[bytes]
    address: str
    http: str


def free_address() -> str:
    """Return an address on this machine that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


def command_for(binary: str) -> tuple[str, ...]:
    """How to run the program: a built binary, or this interpreter without one."""
    return (binary,) if binary else INTERPRETED


def read_example(path: Path) -> dict[str, Any]:
    """Read the description of a deployment."""
    return tomllib.loads(path.read_text("utf-8"))


class Deployment:
    """Starts, changes and ends the processes.

    Parameters
    ----------
    example : dict
        Description as in ``examples/``.
    folder : Path
        Where logs and spans go.
    command : tuple of str
        How the binary is run.
    """

    def __init__(
        self,
        example: dict[str, Any],
        folder: Path,
        command: tuple[str, ...] = INTERPRETED,
    ) -> None:
        self.example = example
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.backends: dict[str, str] = {}
        self.platform_url = ""
        self.slots = int(example.get("slots", 16))
        self.extra_bare_sides = 0
        self.extra_side: tuple[str, ...] = ()
        self._name = uuid.uuid4().hex
        self._command = command
        self._client = httpx.Client(timeout=10.0)

    # Processes

    def start(self, entries: int = 2) -> None:
        """Start everything and wait until it is ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        for server in self.example["servers"]:
            self.start_backend(server)
        for server in self.example["servers"]:
            self.start_side(server)
        for number in range(self.extra_bare_sides):
            domains = self.example["domains"]
            self.start_bare_side(domains[(number + 1) % len(domains)])
        for number in range(entries):
            self.start_entry(f"entry-{number + 1}")
        self.wait_placed()

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
        args = [flag, backend, "--domain", server["domain"], *self.extra_side]
        self._start_daemon(name, "side", address, http, args)
        servers = [server["name"]]
        self.list_instance(name, "side", address, server["domain"], servers)
        return name

    def start_bare_side(self, domain: str) -> None:
        """Start a side process with no backend server."""
        number = len([name for name in self.processes if name.startswith("side-bare")])
        name = f"side-bare-{number}"
        address, http = free_address(), free_address()
        args = ["--domain", domain, *self.extra_side]
        self._start_daemon(name, "side", address, http, args)
        self.list_instance(name, "side", address, domain, [])

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
        self.list_instance(name, "entry", address, domain, [])

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
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            try:
                if self._client.get(url).status_code == httpx.codes.OK:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"{url} did not answer")

    def wait_placed(self) -> None:
        """Wait until every entry knows a complete slot table."""
        end = time.monotonic() + START_S
        while not all(self._placed(url) for url in self.entries()):
            if time.monotonic() > end:
                raise TimeoutError("the slots were not placed")
            time.sleep(POLL_S)

    def _placed(self, url: str) -> bool:
        return bool(self._client.get(f"{url}/healthz").json()["placed"])

    # Platform's part

    def list_instance(
        self, name: str, role: str, address: str, domain: str, servers: list[str]
    ) -> None:
        """Put an instance on the platform's list."""
        row = {"name": name, "role": role, "address": address, "domain": domain}
        body = {**row, "servers": servers, "leaving": False}
        self._client.put(f"{self.platform_url}/v1/instances/{name}", json=body)

    def unlist(self, name: str) -> None:
        """Take an instance off the platform's list."""
        self._client.delete(f"{self.platform_url}/v1/instances/{name}")

    def control(self, url: str, **wanted: Any) -> None:
        """Make a stand-in fail."""
        self._client.post(f"{url}/control", json=wanted)

    def records(self, url: str) -> Any:
        """Read a stand-in's records."""
        return self._client.get(f"{url}/records").json()

    def health(self, name: str) -> Any:
        """Read a daemon's health."""
        http = self.processes[name].http
        return self._client.get(f"http://{http}/healthz").json()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.processes[name].popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once and wait for its end."""
        process = self.processes.pop(name)
        process.popen.kill()
        process.popen.wait()

    # Using it

    def entries(self) -> list[str]:
        """Return the base URLs of the entries."""
        found = [p for p in self.processes.values() if p.name.startswith("entry")]
        return [f"http://{p.http}" for p in found]

    def sides(self) -> list[str]:
        """Names of the side processes."""
        return [name for name in self.processes if name.startswith("side")]

    def operate(self, command: str, change: str = "", entry: int = 0) -> Any:
        """Send an operator's command."""
        answer = self._client.post(
            f"{self.entries()[entry]}/v1/operate",
            json={"command": command, "change": change},
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return answer.json()

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
        """Wait until every daemon has a configuration."""
        end = time.monotonic() + START_S
        names = [*self.sides(), *(n for n in self.processes if n.startswith("entry"))]
        for name in names:
            while self.health(name)["revisions"].get("config", 0) < revision:
                if time.monotonic() > end:
                    raise TimeoutError(f"{name} did not hear of revision {revision}")
                time.sleep(POLL_S)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
        for process in self.processes.values():
            process.popen.wait(STOP_S)
        self._client.close()
        self.processes.clear()


def default_folder() -> Path:
    """Folder for logs of a run."""
    return Path(os.environ.get("WISTERIASTAIR_OUT", "out"))
