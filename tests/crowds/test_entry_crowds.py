"""Crowds of clients at the HTTP ports of an entry and of a side process."""

from __future__ import annotations

import resource
import subprocess
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path

import anyio
import httpx
import pytest

from tests.crowds.crowd import (
    KB,
    MB,
    MIB,
    Crowd,
    CrowdRun,
    Form,
    Part,
    chunked,
    lines,
    over_limit,
    with_length,
)
from tests.crowds.relays import REPEATS, run
from tests.crowds.watch import Peak, Watch
from wisteriastair.standins.deployment import CALLER_TOKEN, Deployment, read_example

EXAMPLE = Path(__file__).parents[2] / "examples" / "office.toml"
# Lowered limits: of memory as a setting, and of descriptors for each process.
MEMORY_MB = 128
MAX_FDS = 400
MANY_FDS = 4100
CROWDED = "entry-crowded"
RETRY_S = 0.1
ANSWER_TIMEOUT_S = 5.0
AUTHORIZED = f"Authorization: Bearer {CALLER_TOKEN}\r\nIdempotency-Key: crowd"


def call(form: Form, fields: str = AUTHORIZED) -> Form:
    """Return a form that is sent to the interface for calls."""
    start = form[0].data.replace(b"/unsafe/x", b"/v1/call/listings/find")
    start = start.replace(b"Host: h\r\n", f"Host: h\r\n{fields}\r\n".encode())
    return (Part(start), *form[1:])


CROWDS = {
    "length-short": Crowd(150, call(with_length(2 * MB, 10))),
    "length-short-in-pieces": Crowd(60, call(with_length(2 * MB, 10)), 1021),
    "length-whole": Crowd(150, call(with_length(2 * MB, 0))),
    "unauthorized": Crowd(150, call(with_length(2 * MB, 10), "X-Key: none")),
    "chunks-large-short": Crowd(150, call(chunked(500 * KB, 2 * MB))),
    "chunks-small-short": Crowd(60, call(chunked(16, 1600 * KB))),
    "length-over-limit": Crowd(200, call(over_limit(0))),
    "length-over-limit-sent": Crowd(100, call(over_limit(4 * MB))),
    "heads-of-lines": Crowd(1000, lines(15 * KB, b"a: b\r\n")),
    "returning": Crowd(60, call(with_length(2 * MB, 10)), opens=20),
}
CONNECTIONS = {
    "silent": Crowd(600, ()),
    "bodies": Crowd(600, call(with_length(KB, 2))),
}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    running = Deployment(read_example(EXAMPLE), tmp_path_factory.mktemp("office"))
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("WISTERIASTAIR_MEMORY_MB", str(MEMORY_MB))
        try:
            running.start(entry_count=1)
            running.wait_revision(running.configure())
            yield running
        finally:
            running.stop()


@contextmanager
def started_entry(
    deployment: Deployment, max_fds: int = MANY_FDS
) -> Iterator[subprocess.Popen[bytes]]:
    """Run an entry for one crowd, with a limit of its descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, hard))
    try:
        deployment.start_entry(CROWDED)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    try:
        yield deployment.processes[CROWDED].popen
    finally:
        deployment.kill(CROWDED)
        deployment.remove_instance(CROWDED)


class EntryCallers:
    """Ordinary callers of an entry."""

    def __init__(self, url: str, popen: subprocess.Popen[bytes]) -> None:
        self._url = url
        self._popen = popen
        # Calls that join others with the same key would not be run.
        self._keys = iter(range(1_000_000))
        self._started_at = time.monotonic()

    async def be_served(self) -> None:
        """Call a service on new connections until the answer is complete."""
        while not await self._call():
            assert self._popen.poll() is None, "the process has ended"
            await anyio.sleep(RETRY_S)

    async def _call(self) -> bool:
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": f"{self._started_at} {next(self._keys)}",
        }
        url = f"{self._url}/v1/call/listings/find"
        try:
            async with httpx.AsyncClient(timeout=ANSWER_TIMEOUT_S) as client:
                response = await client.post(url, content=b"puzzle", headers=headers)
        except httpx.HTTPError:
            return False
        return response.status_code == httpx.codes.OK


def bear(crowd: Crowd, deployment: Deployment, max_fds: int = MANY_FDS) -> Peak:
    """Send a crowd twice to an entry; return what it held at most."""
    with started_entry(deployment, max_fds) as entry:
        return bear_at(crowd, deployment.processes[CROWDED].http, entry)


def bear_at(crowd: Crowd, http: str, entry: subprocess.Popen[bytes]) -> Peak:
    host, _, port = http.rpartition(":")
    callers = EntryCallers(f"http://{http}", entry)

    async def scenario() -> None:
        await callers.be_served()
        for _ in range(REPEATS):
            with closing(CrowdRun(crowd, (host, int(port)))) as crowd_run:
                async with anyio.create_task_group() as group:
                    group.start_soon(crowd_run.run)
                    await callers.be_served()
                await callers.be_served()
            await callers.be_served()

    with Watch(entry.pid, {int(port)}) as watch:
        run(scenario)
    return watch.peak()


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_of_callers_is_bounded_by_memory(
    name: str, deployment: Deployment
) -> None:
    """Guards against callers that fill the memory of an entry."""
    peak = bear(CROWDS[name], deployment)
    assert peak.memory_bytes <= MEMORY_MB * MIB
    assert peak.descriptors < MANY_FDS


@pytest.mark.parametrize("name", CONNECTIONS)
def test_a_crowd_of_connections_is_bounded_by_descriptors(
    name: str, deployment: Deployment
) -> None:
    """Guards against callers that take the descriptors of peers and files."""
    assert bear(CONNECTIONS[name], deployment, MAX_FDS).descriptors < MAX_FDS


def test_a_length_over_the_limit_is_refused_at_the_head(
    deployment: Deployment,
) -> None:
    """Guards against callers that announce too much, send nothing, and wait."""

    async def scenario() -> None:
        host, _, port = deployment.processes[CROWDED].http.rpartition(":")
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(call(over_limit(0))[0].data)
                assert (await stream.receive()).startswith(b"HTTP/1.1 413 ")

    with started_entry(deployment):
        run(scenario)
