"""A whole deployment in one process and in virtual time.

The shipped cores run against small fakes at their interfaces: a network that delays,
loses and cuts, a key-value service that can be down or lose its answers, engines and
plain services.  Every run with the same seed is the same run.  The failure tests, the
golden sessions and the load tool use it; there is no socket and no real clock.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from ..core.config import (
    CONFIG_KEY,
    EMPTY_CONFIG,
    Change,
    Config,
    apply_change,
    encode_config,
)
from ..core.entry import (
    CallerEvent,
    DeliverToCaller,
    Done,
    EntryCore,
    EntryOptions,
    Refused,
    RequestSpec,
)
from ..core.events import (
    BackendCacheReport,
    BackendCall,
    BackendCancel,
    BackendEnded,
    BackendRelease,
    BackendText,
    Drained,
    Effect,
    Event,
    Instance,
    InstancesSeen,
    KvRead,
    KvSwap,
    KvValue,
    KvWatch,
    KvWritten,
    LogMessage,
    Received,
    Send,
    StopRequested,
    Tick,
)
from ..core.hashing import address_of
from ..core.side import SideCore, SideOptions
from ..core.wire import CallId, GateCall, Message, decode_message, encode_message
from ..errors import Failure
from .engine_model import EngineModel as EngineStand
from .engine_model import Ledger
from .virtual_parts import (
    Disturb,
    EngineCall,
    Execution,
    Node,
    VirtualKv,
    VirtualOptions,
    VirtualServer,
    undisturbed,
)
from .virtual_time import VirtualTime

ENGINE_STEP_S: Final = 0.02
LIST_S: Final = 1.0
HELD_S: Final = 5.0
KV_S: Final = 0.002
TEXT_PIECES: Final = 3


class VirtualDeployment(VirtualTime):
    """The deployment."""

    def __init__(self, cfg: VirtualOptions) -> None:
        super().__init__()
        self.cfg = cfg
        self.kv = VirtualKv()
        self.nodes: dict[str, Node] = {}
        self.instances: dict[str, Instance] = {}
        self.events: dict[str, list[CallerEvent]] = {}
        self.on_last: dict[str, Callable[[CallerEvent], None]] = {}
        self.executions: list[Execution] = []
        self.ledger = Ledger()
        self.engines: dict[str, EngineStand] = {}
        self.notes: list[str] = []
        self.hanging: set[str] = set()
        self.disturb: Disturb = undisturbed
        self.service_time: Callable[[GateCall], float] = lambda call: cfg.service_s
        self.messages = 0
        self.bytes = 0
        self.config: Config = EMPTY_CONFIG
        self._random = Random(cfg.seed)
        self._cuts: set[frozenset[str]] = set()
        self._requests = 0
        self._running: dict[CallId, EngineCall] = {}
        self._incarnations = 0
        for server in cfg.servers:
            if server.kind == "model":
                self.engines[server.name] = EngineStand(cfg.speed, self.ledger)
                self._every(ENGINE_STEP_S, partial(self._step_engine, server.name))
            self.start_side(server)
        for number in range(cfg.entries):
            self._start_entry(f"entry-{number + 1}")
        self._every(LIST_S, self._show_list)

    # Processes

    def start_side(self, server: VirtualServer) -> Node:
        """Start (or restart, with a new incarnation) a server's side process."""
        name = f"side-{server.name}"
        address = f"{name}:1"
        cfg = self.cfg
        core = SideCore(
            SideOptions(
                self._new_member(address),
                server.domain,
                (server.name,),
                cfg.slots,
                cfg.segments,
                cfg.router,
                cfg.order,
                cfg.gate,
                cfg.engine,
                cfg.max_active,
                cfg.max_wait_s,
                cfg.stop_s,
            )
        )
        self.instances[name] = Instance(
            name, "side", address, server.domain, False, (server.name,)
        )
        node = self._add(name, address, core)
        self._every(cfg.tick_s, lambda: self._deliver(node, Tick()), node)
        if server.kind == "model":
            self._every(HELD_S, lambda: self._report_held(node, server.name), node)
        return node

    def _new_member(self, address: str) -> str:
        self._incarnations += 1
        return f"{address}#{self._incarnations}"

    def _start_entry(self, name: str) -> None:
        address = f"{name}:1"
        domain = self.cfg.servers[0].domain
        core = EntryCore(
            EntryOptions(
                self._new_member(address), domain, self.cfg.slots, self.cfg.segments
            )
        )
        self.instances[name] = Instance(name, "entry", address, domain, False, ())
        node = self._add(name, address, core)
        self._every(self.cfg.tick_s, lambda: self._deliver(node, Tick()), node)

    def _add(self, name: str, address: str, core: SideCore | EntryCore) -> Node:
        member = f"{address}#{self._incarnations}"
        node = Node(name, member, core)
        self.nodes[name] = node
        for key in [CONFIG_KEY, *(f"slots/{n}" for n in range(self.cfg.segments))]:
            self.after(0.0, partial(self._read, node, key))
        self.after(0.0, self._show_list)
        return node

    def side(self, server: str) -> SideCore:
        """Core of a server's side process."""
        core = self.nodes[f"side-{server}"].core
        assert isinstance(core, SideCore)
        return core

    def entry(self, number: int = 1) -> EntryCore:
        """Core of an entry."""
        core = self.nodes[f"entry-{number}"].core
        assert isinstance(core, EntryCore)
        return core

    def kill(self, name: str, *, listed: bool = False) -> None:
        """Kill a process; the list notices unless ``listed`` is kept."""
        self.nodes[name].alive = False
        if not listed:
            self.instances.pop(name, None)

    def freeze(self, name: str) -> None:
        """Stop a process without ending it, as SIGSTOP does."""
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Let a frozen process go on; it finds what came meanwhile."""
        node = self.nodes[name]
        node.frozen = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self._deliver(node, event)

    def stop_side(self, name: str) -> None:
        """Begin a planned stop."""
        self._deliver(self.nodes[name], StopRequested())

    def cut(self, first: str, second: str) -> None:
        """Cut two processes off from each other."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    # Time

    def _every(
        self, period: float, action: Callable[[], None], node: Node | None = None
    ) -> None:
        def again() -> None:
            if node is not None and (not node.alive or node.drained):
                return
            action()
            self.after(period, again)

        self.after(self._random.random() * period, again)

    # Delivery

    def _deliver(self, node: Node, event: Event) -> None:
        if not node.alive or node.drained:
            return
        if node.frozen:
            if not isinstance(event, Tick):
                node.backlog.append(event)
            return
        core = node.core
        if isinstance(core, SideCore):
            self._do(node, core.step(event, self.now))
        else:
            self._do(node, self._step_entry(core, event))

    def _step_entry(
        self, core: EntryCore, event: Event
    ) -> list[Effect | DeliverToCaller]:
        match event:
            case Received(sender, message):
                return core.receive(sender, message, self.now)
            case Tick():
                return core.tick(self.now)
            case InstancesSeen(instances):
                return [*core.set_instances(instances)]
            case KvValue() | KvWritten():
                return core.on_kv(event)
            case _:
                return []

    def _do(self, node: Node, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._transmit(node, to, message)
                case DeliverToCaller(request, event):
                    self._to_caller(request, event)
                case KvRead(key):
                    self.after(KV_S, partial(self._read, node, key))
                case KvSwap():
                    self.after(KV_S, partial(self._swap, node, effect))
                case KvWatch(active):
                    node.watching = active
                case BackendCall(call):
                    self._call_backend(node, call)
                case BackendCancel(call_id, server):
                    self._cancel(call_id, server)
                case BackendRelease(server, programs):
                    for program in programs:
                        self.engines[server].release(program)
                case Drained():
                    node.drained = True
                    self.instances.pop(node.name, None)
                case LogMessage(_, text, _):
                    self.notes.append(f"{node.name}: {text}")

    def _transmit(self, node: Node, to: str, message: Message) -> None:
        data = encode_message(message)
        self.messages += 1
        self.bytes += len(data)
        name = address_of(to).split(":")[0]
        target = self.nodes.get(name)
        if target is None or not target.alive or target.drained:
            return
        if "#" in to and target.member != to:
            return
        if frozenset((node.name, name)) in self._cuts:
            return
        received = Received(node.member, decode_message(data))
        for extra in self.disturb(node.name, name, message):
            delay = self.cfg.delay_s * (0.5 + self._random.random()) + extra
            self.after(delay, partial(self._deliver, target, received))

    def _read(self, node: Node, key: str) -> None:
        self._deliver(node, self.kv.read(key))

    def _swap(self, node: Node, swap: KvSwap) -> None:
        answer = self.kv.swap(swap)
        self._deliver(node, answer)
        held = self.kv.keys.get(swap.key)
        if held is not None and self.kv.up:
            self.show(held)

    def show(self, value: KvValue) -> None:
        """Have the watchers see a key."""
        for node in list(self.nodes.values()):
            if node.watching:
                self.after(KV_S, partial(self._deliver, node, value))

    def _show_list(self) -> None:
        seen = InstancesSeen(tuple(self.instances[n] for n in sorted(self.instances)))
        for node in list(self.nodes.values()):
            self._deliver(node, seen)

    # Callers and operators

    def ask(self, ask: RequestSpec, entry: int = 1) -> str:
        """Send a caller's request; its events gather in ``events``."""
        self._requests += 1
        request = f"request-{self._requests}"
        self.events[request] = []
        node = self.nodes[f"entry-{entry}"]
        self._do(node, self.entry(entry).submit(request, ask, self.now))
        return request

    def _to_caller(self, request: str, event: CallerEvent) -> None:
        if request not in self.events:
            return
        self.events[request].append(event)
        if isinstance(event, Done | Refused) and request in self.on_last:
            self.on_last.pop(request)(event)

    def last(self, request: str) -> CallerEvent | None:
        """Return the final event of a request, if it has one."""
        events = self.events[request]
        final = bool(events) and isinstance(events[-1], Done | Refused)
        return events[-1] if final else None

    def change(self, change: Change) -> Config | Failure:
        """Make a change of configuration as an operator's entry does."""
        changed = apply_change(self.config, change)
        if isinstance(changed, Failure):
            return changed
        self.config = changed
        held = self.kv.keys.get(CONFIG_KEY)
        revision = held.revision if held is not None else 0
        self.kv.swap(KvSwap(CONFIG_KEY, revision, encode_config(changed)))
        self.show(self.kv.keys[CONFIG_KEY])
        return changed

    # Backend servers

    def _call_backend(self, node: Node, call: GateCall) -> None:
        if call.server in self.engines:
            self._call_engine(node, call)
        elif call.server not in self.hanging:
            pause = self.service_time(call)
            self.after(pause, lambda: self._execute(node, call))

    def _execute(self, node: Node, call: GateCall) -> None:
        name = "/".join(str(part) for part in call.call)
        self.executions.append(Execution(call.server, call.name, call.body, name))
        text = f"{call.name} of {call.body} done"
        ended = BackendEnded(call.call, "ok", "yes", text, (), 0, 0, 0)
        self._deliver(node, ended)

    def _call_engine(self, node: Node, call: GateCall) -> None:
        running = EngineCall(node, call)
        self.engines[call.server].submit(running.request)
        self._running[call.call] = running
        if self.cfg.stream:
            size = max(1, -(-len(running.rest) // TEXT_PIECES))
            for number in range(1, TEXT_PIECES):
                emit = partial(self._emit, running, size * number)
                self.after(number * ENGINE_STEP_S, emit)

    def _emit(self, running: EngineCall, end: int) -> None:
        """Emit the output up to a position, unless the call is over."""
        call = running.call.call
        if self._running.get(call) is not running:
            return
        text = running.rest[running.emitted : end]
        running.emitted = max(running.emitted, min(end, len(running.rest)))
        if text:
            self._deliver(running.node, BackendText(call, text))

    def _step_engine(self, server: str) -> None:
        if server in self.hanging:
            return
        done = self.engines[server].step(ENGINE_STEP_S)
        if not done:
            return
        for call_id, running in list(self._running.items()):
            if running.request in done:
                if self.cfg.stream:
                    self._emit(running, len(running.rest))
                del self._running[call_id]
                self._end_engine_call(running)

    def _end_engine_call(self, running: EngineCall) -> None:
        request = running.request
        ended = BackendEnded(
            running.call.call,
            "ok",
            "yes",
            "" if running.emitted else running.rest,
            running.actions,
            request.prompt,
            request.cached,
            request.output,
        )
        self._deliver(running.node, ended)

    def _cancel(self, call: CallId, server: str) -> None:
        running = self._running.pop(call, None)
        if running is not None:
            self.engines[server].cancel(running.request.name)

    def _report_held(self, node: Node, server: str) -> None:
        held = tuple(self.engines[server].programs())
        self._deliver(node, BackendCacheReport(server, held))
