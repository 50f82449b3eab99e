"""A complete deployment in one process and in virtual time.

The production cores run against simulations of what surrounds them: a network that
delays, drops and partitions, a key-value service that can be down or lose its
responses, engines and plain services.  Runs with the same seed are identical.  The
failure tests, the golden sessions and the load tool use it.  It uses no sockets and no
real clock.
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
from .engine_model import PrefillStats, SimulatedEngine
from .virtual_parts import (
    DeliveryDelays,
    EngineCall,
    Execution,
    Node,
    VirtualKv,
    VirtualOptions,
    VirtualServer,
    no_extra_delays,
)
from .virtual_time import VirtualTime

ENGINE_STEP_S: Final = 0.02
LIST_INTERVAL_S: Final = 1.0
CACHE_REPORT_INTERVAL_S: Final = 5.0
KV_DELAY_S: Final = 0.002
TEXT_CHUNKS: Final = 3


class VirtualDeployment(VirtualTime):
    """Runs the processes of a deployment in virtual time.

    Attributes
    ----------
    events : dict
        Events that each request's caller has received, by request.
    on_final_event : dict
        Callbacks for the final event, by request.
    executions : list of Execution
        Calls that the plain services have executed.
    log_messages : list of str
        Log messages of the processes.
    hanging_servers : set of str
        Servers that accept calls and never respond.
    delivery_delays : DeliveryDelays
        Returns the extra delay of each copy of a message; an empty tuple drops it.
    service_delay : callable
        Returns the duration of a plain call in seconds.
    """

    def __init__(self, cfg: VirtualOptions) -> None:
        super().__init__()
        self.cfg = cfg
        self.kv = VirtualKv()
        self.nodes: dict[str, Node] = {}
        self.instances: dict[str, Instance] = {}
        self.events: dict[str, list[CallerEvent]] = {}
        self.on_final_event: dict[str, Callable[[CallerEvent], None]] = {}
        self.executions: list[Execution] = []
        self.prefill_stats = PrefillStats()
        self.engines: dict[str, SimulatedEngine] = {}
        self.log_messages: list[str] = []
        self.hanging_servers: set[str] = set()
        self.delivery_delays: DeliveryDelays = no_extra_delays
        self.service_delay: Callable[[GateCall], float] = lambda call: cfg.service_s
        self.message_count = 0
        self.message_bytes = 0
        self.config: Config = EMPTY_CONFIG
        self._random = Random(cfg.seed)
        self._partitions: set[frozenset[str]] = set()
        self._request_count = 0
        self._engine_calls: dict[CallId, EngineCall] = {}
        self._incarnations = 0
        for server in cfg.servers:
            if server.kind == "model":
                self.engines[server.name] = SimulatedEngine(
                    cfg.speed, self.prefill_stats
                )
                self._schedule_periodic(
                    ENGINE_STEP_S, partial(self._step_engine, server.name)
                )
            self.start_side(server)
        for number in range(cfg.entries):
            self._start_entry(f"entry-{number + 1}")
        self._schedule_periodic(LIST_INTERVAL_S, self._publish_instances)

    # Processes

    def start_side(self, server: VirtualServer) -> Node:
        """Start the side process of a server, or restart it as a new incarnation."""
        name = f"side-{server.name}"
        address = f"{name}:1"
        cfg = self.cfg
        core = SideCore(
            SideOptions(
                self._next_member(address),
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
        node = self._add_node(name, address, core)
        self._schedule_periodic(cfg.tick_s, lambda: self._deliver(node, Tick()), node)
        if server.kind == "model":
            self._schedule_periodic(
                CACHE_REPORT_INTERVAL_S,
                lambda: self._report_cached_programs(node, server.name),
                node,
            )
        return node

    def _next_member(self, address: str) -> str:
        self._incarnations += 1
        return f"{address}#{self._incarnations}"

    def _start_entry(self, name: str) -> None:
        address = f"{name}:1"
        domain = self.cfg.servers[0].domain
        core = EntryCore(
            EntryOptions(
                self._next_member(address), domain, self.cfg.slots, self.cfg.segments
            )
        )
        self.instances[name] = Instance(name, "entry", address, domain, False, ())
        node = self._add_node(name, address, core)
        self._schedule_periodic(
            self.cfg.tick_s, lambda: self._deliver(node, Tick()), node
        )

    def _add_node(self, name: str, address: str, core: SideCore | EntryCore) -> Node:
        member = f"{address}#{self._incarnations}"
        node = Node(name, member, core)
        self.nodes[name] = node
        for key in [CONFIG_KEY, *(f"slots/{n}" for n in range(self.cfg.segments))]:
            self.after(0.0, partial(self._read_key, node, key))
        self.after(0.0, self._publish_instances)
        return node

    def side(self, server: str) -> SideCore:
        """Return the core of the side process of a server."""
        core = self.nodes[f"side-{server}"].core
        assert isinstance(core, SideCore)
        return core

    def entry(self, number: int = 1) -> EntryCore:
        """Return the core of an entry."""
        core = self.nodes[f"entry-{number}"].core
        assert isinstance(core, EntryCore)
        return core

    def kill(self, name: str, *, listed: bool = False) -> None:
        """Kill a process; remove it from the instance list unless ``listed`` is set."""
        self.nodes[name].alive = False
        if not listed:
            self.instances.pop(name, None)

    def freeze(self, name: str) -> None:
        """Suspend a process, as SIGSTOP does."""
        self.nodes[name].frozen = True

    def resume(self, name: str) -> None:
        """Resume a frozen process and deliver the events that arrived meanwhile."""
        node = self.nodes[name]
        node.frozen = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self._deliver(node, event)

    def stop_side(self, name: str) -> None:
        """Start a planned stop."""
        self._deliver(self.nodes[name], StopRequested())

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two processes."""
        self._partitions.add(frozenset((first, second)))

    def remove_partitions(self) -> None:
        """Remove all network partitions."""
        self._partitions.clear()

    # Time

    def _schedule_periodic(
        self, period_s: float, action: Callable[[], None], node: Node | None = None
    ) -> None:
        def run_and_reschedule() -> None:
            if node is not None and (not node.alive or node.drained):
                return
            action()
            self.after(period_s, run_and_reschedule)

        self.after(self._random.random() * period_s, run_and_reschedule)

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
            self._apply_effects(node, core.step(event, self.now))
        else:
            self._apply_effects(node, self._step_entry(core, event))

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

    def _apply_effects(self, node: Node, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._transmit(node, to, message)
                case DeliverToCaller(request, event):
                    self._deliver_to_caller(request, event)
                case KvRead(key):
                    self.after(KV_DELAY_S, partial(self._read_key, node, key))
                case KvSwap():
                    self.after(KV_DELAY_S, partial(self._swap_key, node, effect))
                case KvWatch(active):
                    node.is_watching = active
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
                    self.log_messages.append(f"{node.name}: {text}")

    def _transmit(self, node: Node, to: str, message: Message) -> None:
        data = encode_message(message)
        self.message_count += 1
        self.message_bytes += len(data)
        name = address_of(to).split(":")[0]
        target = self.nodes.get(name)
        if target is None or not target.alive or target.drained:
            return
        if "#" in to and target.member != to:
            return
        if frozenset((node.name, name)) in self._partitions:
            return
        received = Received(node.member, decode_message(data))
        for extra_s in self.delivery_delays(node.name, name, message):
            delay_s = self.cfg.delay_s * (0.5 + self._random.random()) + extra_s
            self.after(delay_s, partial(self._deliver, target, received))

    def _read_key(self, node: Node, key: str) -> None:
        self._deliver(node, self.kv.read(key))

    def _swap_key(self, node: Node, swap: KvSwap) -> None:
        result = self.kv.swap(swap)
        self._deliver(node, result)
        stored = self.kv.keys.get(swap.key)
        if stored is not None and self.kv.up:
            self.notify_watchers(stored)

    def notify_watchers(self, value: KvValue) -> None:
        """Deliver a key's value to all processes that watch the service."""
        for node in list(self.nodes.values()):
            if node.is_watching:
                self.after(KV_DELAY_S, partial(self._deliver, node, value))

    def _publish_instances(self) -> None:
        event = InstancesSeen(tuple(self.instances[n] for n in sorted(self.instances)))
        for node in list(self.nodes.values()):
            self._deliver(node, event)

    # Callers and operators

    def submit(self, spec: RequestSpec, entry: int = 1) -> str:
        """Send a caller's request; its events are appended to ``events``."""
        self._request_count += 1
        request = f"request-{self._request_count}"
        self.events[request] = []
        node = self.nodes[f"entry-{entry}"]
        self._apply_effects(node, self.entry(entry).submit(request, spec, self.now))
        return request

    def _deliver_to_caller(self, request: str, event: CallerEvent) -> None:
        if request not in self.events:
            return
        self.events[request].append(event)
        if isinstance(event, Done | Refused) and request in self.on_final_event:
            self.on_final_event.pop(request)(event)

    def final_event(self, request: str) -> CallerEvent | None:
        """Return the final event of a request, if it has one."""
        events = self.events[request]
        final = bool(events) and isinstance(events[-1], Done | Refused)
        return events[-1] if final else None

    def change(self, change: Change) -> Config | Failure:
        """Change the configuration as the entry of an operator does."""
        changed = apply_change(self.config, change)
        if isinstance(changed, Failure):
            return changed
        self.config = changed
        stored = self.kv.keys.get(CONFIG_KEY)
        revision = stored.revision if stored is not None else 0
        self.kv.swap(KvSwap(CONFIG_KEY, revision, encode_config(changed)))
        self.notify_watchers(self.kv.keys[CONFIG_KEY])
        return changed

    # Backend servers

    def _call_backend(self, node: Node, call: GateCall) -> None:
        if call.server in self.engines:
            self._call_engine(node, call)
        elif call.server not in self.hanging_servers:
            delay_s = self.service_delay(call)
            self.after(delay_s, lambda: self._execute_plain(node, call))

    def _execute_plain(self, node: Node, call: GateCall) -> None:
        call_id = "/".join(str(part) for part in call.call)
        self.executions.append(Execution(call.server, call.name, call.body, call_id))
        text = f"{call.name} of {call.body} done"
        ended = BackendEnded(call.call, "ok", "yes", text, (), 0, 0, 0)
        self._deliver(node, ended)

    def _call_engine(self, node: Node, call: GateCall) -> None:
        engine_call = EngineCall(node, call)
        self.engines[call.server].submit(engine_call.request)
        self._engine_calls[call.call] = engine_call
        if self.cfg.stream:
            chunk_chars = max(1, -(-len(engine_call.remaining_text) // TEXT_CHUNKS))
            for number in range(1, TEXT_CHUNKS):
                emit = partial(self._emit_text, engine_call, chunk_chars * number)
                self.after(number * ENGINE_STEP_S, emit)

    def _emit_text(self, engine_call: EngineCall, end: int) -> None:
        """Emit the output up to a character position, unless the call has ended."""
        call = engine_call.call.call
        if self._engine_calls.get(call) is not engine_call:
            return
        text = engine_call.remaining_text[engine_call.emitted_chars : end]
        engine_call.emitted_chars = max(
            engine_call.emitted_chars, min(end, len(engine_call.remaining_text))
        )
        if text:
            self._deliver(engine_call.node, BackendText(call, text))

    def _step_engine(self, server: str) -> None:
        if server in self.hanging_servers:
            return
        done = self.engines[server].step(ENGINE_STEP_S)
        if not done:
            return
        for call_id, engine_call in list(self._engine_calls.items()):
            if engine_call.request in done:
                if self.cfg.stream:
                    self._emit_text(engine_call, len(engine_call.remaining_text))
                del self._engine_calls[call_id]
                self._end_engine_call(engine_call)

    def _end_engine_call(self, engine_call: EngineCall) -> None:
        request = engine_call.request
        ended = BackendEnded(
            engine_call.call.call,
            "ok",
            "yes",
            "" if engine_call.emitted_chars else engine_call.remaining_text,
            engine_call.actions,
            request.prompt_tokens,
            request.cached_tokens,
            request.output_tokens,
        )
        self._deliver(engine_call.node, ended)

    def _cancel(self, call: CallId, server: str) -> None:
        engine_call = self._engine_calls.pop(call, None)
        if engine_call is not None:
            self.engines[server].cancel(engine_call.request.request_id)

    def _report_cached_programs(self, node: Node, server: str) -> None:
        programs = tuple(self.engines[server].programs())
        self._deliver(node, BackendCacheReport(server, programs))
