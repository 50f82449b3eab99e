"""The side process: gate of its backend servers, and primary or standby of slots.

`SideCore.step` takes one event and the time and returns the effects.  It only routes
the event to the component that handles it.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .admission import Admission
from .balance import SlotBalancer
from .calls import Calls
from .config import CONFIG_KEY, decode_config
from .dispatch import Dispatcher
from .docs import Docs
from .events import (
    BackendCacheReport,
    BackendEnded,
    BackendText,
    Drained,
    Effect,
    Event,
    InstancesSeen,
    KvConflict,
    KvUnknown,
    KvValue,
    KvWritten,
    Received,
    StopRequested,
    Tick,
)
from .gate import Gate, GateLimits
from .hashing import address_of
from .ordering import make_order
from .outbox import Outbox
from .peers import Peers
from .placement import Placement
from .primary import Primary
from .routing import EngineModel, make_router
from .running import RunningPrograms
from .slots import Slots
from .wire import (
    Acknowledge,
    Append,
    CallPending,
    CallResult,
    CallText,
    CopyEnd,
    DocPull,
    DocPush,
    GateCall,
    GateCancel,
    GateDiscard,
    GateLookup,
    Heartbeat,
    LeaseRelease,
    LeaseRenew,
    ListPrograms,
    Message,
    ProgramAttach,
    ProgramCancel,
    ProgramCopy,
    ProgramStart,
)

DRAIN_NOTICE_S: Final = 1.0


class SideOptions(NamedTuple):
    """Settings of the core of a side process."""

    member: str
    domain: str
    servers: tuple[str, ...]
    slots: int = 64
    segments: int = 4
    router: str = "cost"
    order: str = "program"
    gate: GateLimits = GateLimits()
    engine: EngineModel = EngineModel()
    max_active: int = 256
    max_wait_s: float = 4.0
    stop_s: float = 0.0


class SideCore:
    """The state machine of a side process."""

    def __init__(self, cfg: SideOptions) -> None:
        me = cfg.member
        self.out = Outbox()
        self.docs = Docs(address_of(me))
        self.peers = Peers(me, cfg.domain, self.docs, self.out)
        self.placement = Placement(me, cfg.slots, cfg.segments)
        self.dispatcher = Dispatcher(make_router(cfg.router, cfg.engine), self.peers)
        self.programs = RunningPrograms()
        self.calls = Calls(self.programs, self.dispatcher, self.peers, self.out)
        self.primary = Primary(self.programs, self.calls, self.out)
        self.slots = Slots(
            me,
            placement=self.placement,
            peers=self.peers,
            out=self.out,
            listener=self.primary,
        )
        self.programs.bind(self.slots)
        self.balance = SlotBalancer(
            me, slots=self.slots, placement=self.placement, peers=self.peers
        )
        self.admission = Admission(
            me,
            primary=self.primary,
            programs=self.programs,
            slots=self.slots,
            dispatcher=self.dispatcher,
            out=self.out,
            max_active=cfg.max_active,
            max_wait_s=cfg.max_wait_s,
        )
        order = make_order(cfg.order)
        self.gates = {
            name: Gate(name, me, cfg.gate, order, self.out) for name in cfg.servers
        }
        self._me = me
        self._stop_at = 0.0
        self._stop_limit_s = cfg.stop_s
        self._drained = False
        self._leaving = False

    def step(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects that the shell must carry out."""
        self.programs.now = now
        match event:
            case Received(sender, message):
                self._receive(sender, message, now)
            case Tick():
                self._tick(now)
            case BackendText(call, text):
                for gate in self.gates.values():
                    gate.on_text(call, text)
            case BackendEnded():
                for gate in self.gates.values():
                    gate.on_ended(event, now)
            case BackendCacheReport(server, programs):
                self.gates[server].reconcile(programs)
            case InstancesSeen(instances):
                self.peers.instances = instances
                self.out.extend(self.docs.set_instances(instances))
                self._leaving = any(
                    i.leaving for i in instances if i.address == address_of(self._me)
                )
                self._update_leaving_gates()
            case StopRequested():
                self.peers.draining = True
                self._stop_at = self._stop_at or now
                self._update_leaving_gates()
            case KvValue() | KvWritten() | KvConflict() | KvUnknown():
                self._on_kv(event, now)
        self.slots.flush(now)
        return self.out.drain()

    # Platform documents

    def _on_kv(
        self, event: KvValue | KvWritten | KvConflict | KvUnknown, now: float
    ) -> None:
        if isinstance(event, KvValue | KvWritten):
            self._accept_doc(event.key, event.revision, event.value)
        if not self.placement.owns(event.key):
            return
        self.out.extend(self.placement.on_kv_response(event, now))

    def _accept_doc(self, key: str, revision: int, value: bytes) -> None:
        """Store and push a document if it is newer than the stored one."""
        if not self.docs.store_if_newer(key, revision, value):
            return
        self.out.extend(self.docs.push(key))
        if key == CONFIG_KEY:
            self.programs.config = decode_config(value)
            self._update_leaving_gates()
            self.out.log(f"configuration {revision} in force")
        elif self.placement.owns(key):
            for row in self.placement.apply_segment(value):
                self.slots.observe(row)

    def _update_leaving_gates(self) -> None:
        """Refuse new calls at the gates of leaving servers.

        A router that has an older configuration still sends calls to this process.
        Since the gate refuses them, no call starts even if updates arrive late.
        """
        servers = self.programs.config.servers
        for name, gate in self.gates.items():
            server = servers.get(name)
            declared = server is not None and server.state == "leaving"
            gate.leaving = declared or self._leaving or self.peers.draining

    # Messages

    def _receive(self, sender: str, message: Message, now: float) -> None:
        heartbeat = message if isinstance(message, Heartbeat) else None
        self.peers.on_message(sender, heartbeat, now)
        match message:
            case Heartbeat():
                self.out.extend(self.docs.pull_if_older(sender, message.revisions))
            case DocPush(key, revision, value):
                self._accept_doc(key, revision, value)
            case DocPull():
                self.out.extend(self.docs.on_pull(sender, message))
                self.out.extend(self.docs.pull_if_older(sender, message.revisions))
            case Append():
                self.slots.copy_receiver.on_append(sender, message)
            case Acknowledge():
                self.slots.on_acknowledge(sender, message, now)
            case ProgramCopy():
                self.slots.copy_receiver.on_copy(sender, message)
            case CopyEnd():
                self.slots.copy_receiver.on_copy_end(sender, message)
            case CallText():
                self.calls.on_text(sender, message)
            case CallResult():
                self.calls.on_result(message)
            case CallPending():
                self.calls.on_pending(message)
            case ProgramStart():
                self.admission.on_start(sender, message, now)
            case ProgramAttach():
                self.admission.on_attach(sender, message, now)
            case ProgramCancel():
                self.admission.on_cancel(sender, message, now)
            case ListPrograms():
                self.admission.on_list(sender, message, now)
            case _:
                self._receive_at_gate(sender, message, now)

    def _receive_at_gate(self, sender: str, message: Message, now: float) -> None:
        server = getattr(message, "server", "")
        gate = self.gates.get(server)
        if gate is None:
            return
        match message:
            case GateCall():
                gate.on_call(sender, message, now)
            case GateLookup():
                gate.on_lookup(sender, message, now)
            case GateCancel(call, _):
                gate.on_cancel(call, now)
            case GateDiscard(call, _):
                gate.on_discard(call)
            case LeaseRenew(_, programs):
                gate.renew(programs, now)
            case LeaseRelease(_, programs):
                gate.release(programs)

    # Time

    def _tick(self, now: float) -> None:
        self.peers.replica_count = self.slots.count()
        self.peers.primary_count = len(self.slots.open_slots())
        self.peers.tick(self.slots.partners(), now)
        self.out.extend(self.docs.tick(now))
        self.slots.tick(now)
        self.balance.tick(now)
        self.out.extend(self.placement.tick(now))
        self.primary.tick()
        self.admission.tick(now)
        for gate in self.gates.values():
            gate.tick(now)
        self._check_drained(now)

    def _check_drained(self, now: float) -> None:
        """Report the end of a planned stop.

        The stop is complete when this process has no slots and its gates are idle.  A
        short delay lets the heartbeats about the stop reach peers that would otherwise
        still send calls.
        """
        if not self._stop_at or self._drained or now - self._stop_at < DRAIN_NOTICE_S:
            return
        idle = all(gate.idle for gate in self.gates.values())
        replica_count = self.slots.count()
        if idle and replica_count == 0:
            self._drained = True
            self.out.add(Drained())
        elif 0 < self._stop_limit_s < now - self._stop_at:
            # Set by the operator: if no other process can take over the slots, the
            # stop would otherwise never end.
            self._drained = True
            text = f"stop limit reached with {replica_count} slots not handed over"
            self.out.log(text, level="warning")
            self.out.add(Drained())
