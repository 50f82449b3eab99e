"""Parts of a virtual deployment: settings, processes, the key-value service."""

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
from .engine import prompt_blocks
from .engine_model import EngineSpeed, Request
from .script import count_tokens, scripted_output

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
        Mean one-way delay between processes in seconds.
    service_s : float
        Duration of a plain call in seconds.
    stream : bool
        Whether engines emit text as it is produced (slower to simulate).
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


# Returns the extra delay in seconds of each copy of a message; empty if it is lost.
DeliveryDelays = Callable[[str, str, Message], tuple[float, ...]]


def no_extra_delays(sender: str, to: str, message: Message) -> tuple[float, ...]:
    """Deliver every message once and without extra delay."""
    return (0.0,)


class Node:
    """One process: its core and its state."""

    def __init__(self, name: str, member: str, core: SideCore | EntryCore) -> None:
        self.name = name
        self.member = member
        self.core = core
        self.alive = True
        self.frozen = False
        self.drained = False
        self.is_watching = False
        self.backlog: list[Event] = []


class Execution(NamedTuple):
    """One execution at a plain service, as the service recorded it."""

    server: str
    operation: str
    argument: str
    call_id: str


class EngineCall:
    """A model call in an engine, and the number of characters already emitted."""

    def __init__(self, node: Node, call: GateCall) -> None:
        body = msgspec.json.decode(call.body)
        messages = [m["content"] for m in body["messages"]]
        turn = sum(1 for m in body["messages"] if m["role"] == "assistant")
        scripted = scripted_output(messages[0], turn)
        self.node = node
        self.call = call
        self.remaining_text = scripted.text[len(body["prefix"]) :]
        self.emitted_chars = 0
        self.actions = tuple(Action(name, text) for name, text in scripted.actions)
        self.request = Request(
            "/".join(str(part) for part in call.call),
            call.call.program,
            tuple(prompt_blocks(messages)),
            max(1, min(call.max_tokens, count_tokens(self.remaining_text))),
            call.priority,
        )


class VirtualKv:
    """Simulation of the platform's key-value service."""

    def __init__(self) -> None:
        self.keys: dict[str, KvValue] = {}
        self.revision = 0
        self.up = True
        self.responses_to_drop = 0
        self.reads = 0
        self.writes = 0

    def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key."""
        self.reads += 1
        if not self.up:
            return KvUnknown(key, False)
        return self.keys.get(key, KvValue(key, 0, b""))

    def swap(self, swap: KvSwap) -> KvWritten | KvConflict | KvUnknown:
        """Write a key if it is at the expected revision."""
        self.writes += 1
        if not self.up:
            return KvUnknown(swap.key, True)
        stored = self.keys.get(swap.key)
        if (stored.revision if stored is not None else 0) != swap.revision:
            return KvConflict(swap.key)
        self.revision += 1
        self.keys[swap.key] = KvValue(swap.key, self.revision, swap.value)
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            return KvUnknown(swap.key, True)
        return KvWritten(swap.key, self.revision, swap.value)
