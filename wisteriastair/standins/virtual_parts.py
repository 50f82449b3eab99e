"""The parts of a virtual deployment: settings, processes, the key-value service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec

from ..core.entry import EntryCore
from ..core.events import (
    Event,
    KvConflict,
    KvSwap,
    KvUnknown,
    KvValue,
    KvWritten,
)
from ..core.gate import GateLimits
from ..core.records import Action
from ..core.routing import EngineModel
from ..core.side import SideCore
from ..core.wire import GateCall, Message
from .engine import blocks_of
from .engine_model import EngineSpeed, Request
from .script import count_tokens, say

TICK_S: Final = 0.1


class VirtualServer(NamedTuple):
    """Description of a backend server with its side process."""

    name: str
    kind: str
    serves: tuple[str, ...]
    domain: str


class VirtualOptions(NamedTuple):
    """Settings of a virtual deployment.

    Attributes
    ----------
    delay_s : float
        Mean one-way delay between processes.
    service_s : float
        Seconds that a plain call takes.
    stream : bool
        Whether engines emit text as it is produced (slower to run).
    """

    servers: tuple[VirtualServer, ...]
    entries: int = 2
    seed: int = 1
    slots: int = 16
    segments: int = 2
    delay_s: float = 0.001
    service_s: float = 0.05
    stream: bool = True
    tick_s: float = TICK_S
    speed: EngineSpeed = EngineSpeed()
    gate: GateLimits = GateLimits()
    engine: EngineModel = EngineModel()
    router: str = "cost"
    order: str = "program"
    max_active: int = 256
    max_wait_s: float = 4.0
    stop_s: float = 0.0


# Extra delays of the copies of a message that arrive; none for a lost one.
Disturb = Callable[[str, str, Message], tuple[float, ...]]


def undisturbed(sender: str, to: str, message: Message) -> tuple[float, ...]:
    """Deliver every message once and at once."""
    return (0.0,)


class Node:
    """One process: its core and whether it runs."""

    def __init__(self, name: str, member: str, core: SideCore | EntryCore) -> None:
        self.name = name
        self.member = member
        self.core = core
        self.alive = True
        self.frozen = False
        self.drained = False
        self.watching = False
        self.backlog: list[Event] = []


class Execution(NamedTuple):
    """One execution at a plain service, as the service itself recorded it."""

    server: str
    operation: str
    argument: str
    call: str


class EngineCall:
    """A model call in an engine and how much of its output has been emitted."""

    def __init__(self, node: Node, call: GateCall) -> None:
        body = msgspec.json.decode(call.body)
        contents = [m["content"] for m in body["messages"]]
        turn = sum(1 for m in body["messages"] if m["role"] == "assistant")
        saying = say(contents[0], turn)
        self.node = node
        self.call = call
        self.rest = saying.text[len(body["prefix"]) :]
        self.emitted = 0
        self.actions = tuple(Action(name, text) for name, text in saying.actions)
        self.request = Request(
            "/".join(str(part) for part in call.call),
            call.call.program,
            tuple(blocks_of(contents)),
            max(1, min(call.max_tokens, count_tokens(self.rest))),
            call.priority,
        )


class VirtualKv:
    """The key-value service."""

    def __init__(self) -> None:
        self.keys: dict[str, KvValue] = {}
        self.revision = 0
        self.up = True
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key."""
        self.reads += 1
        if not self.up:
            return KvUnknown(key, False)
        return self.keys.get(key, KvValue(key, 0, b""))

    def swap(self, swap: KvSwap) -> KvWritten | KvConflict | KvUnknown:
        """Write a key if it is at the revision given."""
        self.writes += 1
        if not self.up:
            return KvUnknown(swap.key, True)
        present = self.keys.get(swap.key)
        if (present.revision if present is not None else 0) != swap.revision:
            return KvConflict(swap.key)
        self.revision += 1
        self.keys[swap.key] = KvValue(swap.key, self.revision, swap.value)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return KvUnknown(swap.key, True)
        return KvWritten(swap.key, self.revision, swap.value)
