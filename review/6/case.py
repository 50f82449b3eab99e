"""Turns run to their end and are then cut, since the keepers have no room for them.

Twelve callers run programs of eight turns, whose inputs have 95,000 bytes, on channels
that they keep open.  Two of three keepers reach their limit for turns.  It is checked
only when a turn that has run is to be kept: the relay has passed it on to a server and
forwarded all of its events, and then resets the caller's channel.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2 import (  # noqa: E402
    Lab,
    Message,
    ServerStandin,
    main,
    make_route,
    read_body,
    read_head,
)

# Of the site file: `req_bytes` has max = 100000, `turns` has max = 8, `keep_s` is 60.
INPUT_BYTES = 95_000
SMALL_INPUT_BYTES = 2_000
TURNS = 8
RETENTION_S = 60.0
CALLERS = 12
THINK_S = 0.15
PLAYED_S = 40.0
# "sent again from its start after .1 to .4 s, at most twice"
TRIES, RETRY_S = 3, 0.2
WAIT_S = 4.0
# LOST: "closes that channel without an answer, more than three times".
MAX_CUT = 3


class Channel:
    """A channel that its caller keeps open for all requests."""

    def __init__(self, lab: Lab, relay: str) -> None:
        self.lab = lab
        self.relay = relay
        self.requests = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, path: str, headers: dict[str, str], body: bytes) -> Message:
        """Send a request; the channel is opened if there is none."""
        result = Message("", {}, b"")
        result.is_whole = False
        try:
            async with asyncio.timeout(WAIT_S):
                if self._streams is None:
                    address = self.lab.front(self.relay)
                    self._streams = await asyncio.open_connection(*address)
                    self.requests = 0
                self.requests += 1
                reader, writer = self._streams
                lines = [f"POST {path} HTTP/1.1", "Host: app.example"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                head = await read_head(reader)
                if head is not None:
                    result.first, result.headers = head
                    await self._read_body(reader, result)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        if not result.is_whole or "close" in result.headers.get("connection", ""):
            self.close()
        return result

    async def _read_body(self, reader: asyncio.StreamReader, result: Message) -> None:
        """Read a body, and keep what has come if the channel ends before its end."""
        if result.headers.get("transfer-encoding", "").lower() != "chunked":
            result.body = await read_body(reader, result.headers)
            result.is_whole = True
            return
        while not result.is_whole:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            result.body += chunk[:-2]
            result.is_whole = size == 0

    def close(self) -> None:
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def run(lab: Lab, is_troubled: bool) -> int:
    """Play the case."""
    lab.memory_mb = {"relay": 300, "keeper": 180}
    engines = [ServerStandin(lab, f"i-m{n}", "models", events=4) for n in range(4)]
    for engine in engines:
        engine.work_s = 0.005
    for zone in "abc":
        lab.add(f"storage-{zone}-1", "keeper", zone)
    relays = [lab.add(f"front-{zone}-1", "relay", zone).name for zone in "ab"]
    lab.choose_ports()
    options = {"retainHistory": True, "retentionS": RETENTION_S, "resumable": False}
    lab.configure([make_route("turn", "stream", "models", **options)])
    for engine in engines:
        await engine.start("a")
    for name in lab.machines:
        lab.start(name)
    if not (await lab.wait_members(3, 15) and await lab.wait_ready(relays, 10)):
        lab.record("the deployment did not start")
        return 2
    end = time.monotonic() + PLAYED_S
    size = INPUT_BYTES if is_troubled else SMALL_INPUT_BYTES
    answers = {"whole": 0, "refused": 0, "cut": 0}
    cut_after_run = 0

    async def send(channel: Channel, program: str, previous: str) -> str:
        """Send a turn; return its id if the answer is whole, or an empty string."""
        nonlocal cut_after_run
        request = lab.new_id()
        headers = {
            "X-Request-Id": request,
            "X-Program-Id": program,
            "X-Session-Id": program,
            "X-Finish-Ms": "10000",
            "X-Token-Budget": "100000",
            "X-Token-Usage": "100,100",
            "X-Deadline-Ms": "3000",
        }
        if previous:
            headers["X-Previous-Turn"] = previous
        text = random.randbytes(size // 2).hex().encode() + b"\n"
        answer = await channel.send("/turn/1", headers, text)
        lab.record(
            f"turn    {request} via {channel.relay}, request {channel.requests} of "
            f"its channel, {len(text)} B: {answer.status}, "
            f"{'whole' if answer.is_whole else 'cut'}, "
            f"{answer.body.count(b'data:')} events"
        )
        if answer.is_whole and answer.status == 200:
            answers["whole"] += 1
            return request
        if answer.is_whole:
            answers["refused"] += 1
        else:
            answers["cut"] += 1
            ran = any(request == ran for e in engines for ran, _ in e.runs)
            cut_after_run += ran and channel.requests > 1
        return ""

    async def play(number: int) -> None:
        channel = Channel(lab, relays[number % len(relays)])
        while time.monotonic() < end:
            program, previous = lab.new_id(), ""
            for _ in range(TURNS):
                for _ in range(TRIES):
                    turn = await send(channel, program, previous)
                    if turn:
                        break
                    await asyncio.sleep(RETRY_S)
                if not turn:
                    break
                previous = turn
                await asyncio.sleep(THINK_S)
        channel.close()

    await asyncio.gather(*(play(number) for number in range(CALLERS)))
    lab.record(
        f"result  answers {answers}; on kept channels {cut_after_run} requests ran "
        f"at a sound server and got no complete answer; ended: {lab.ended()}"
    )
    return 1 if cut_after_run > MAX_CUT else 0


main(run, FOLDER, tolerate=1)
