"""The shell of an entry: HTTP for callers and operators, and effects of the core."""

from __future__ import annotations

import logging
import signal
import time
import uuid
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Final

import anyio
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..callers.api import CallerApi
from ..callers.gateway import Gateway
from ..core.config import CONFIG_KEY, Change, Config
from ..core.entry import (
    CallerEvent,
    DeliverToCaller,
    EntryCore,
    ProgramRows,
    RequestSpec,
)
from ..core.entry import EntryOptions as CoreOptions
from ..core.events import (
    Effect,
    Event,
    Instance,
    InstancesSeen,
    KvRead,
    KvSwap,
    KvValue,
    KvWatch,
    KvWritten,
    Send,
)
from ..core.replica import SlotRow
from ..core.wire import Message
from ..errors import Failure
from ..metrics import entry_metrics_route
from ..operators.api import OperatorApi
from ..operators.changes import make_change
from ..options import BYTES_PER_MB, EntryOptions, split_pairs
from ..peers.corecodec import CORE_CODEC
from ..peers.transport import Transport
from ..platform.instances import make_instance_list
from ..platform.kv import make_key_value_store
from ..tracing import make_tracer, start_span, traceparent_of
from .callerevents import CallerEvents
from .connections import HttpConnections
from .platform_link import PlatformLink
from .side import make_member_id
from .web import serve_http

TICK_INTERVAL_S: Final = 0.1

log = logging.getLogger(__name__)


class EntryShell(Gateway):
    """Runs an `EntryCore` with real time, sockets and HTTP."""

    def __init__(self, cfg: EntryOptions) -> None:
        common = cfg.common
        self.member = make_member_id(common.listen)
        self.core = EntryCore(
            CoreOptions(
                self.member,
                common.domain,
                common.slots,
                common.segments,
                cfg.patience_s,
            )
        )
        self.transport = Transport(
            self.member,
            self._on_message,
            deployment=common.deployment,
            codec=CORE_CODEC,
        )
        self._cfg = cfg
        self._tracer = make_tracer(common.trace_file)
        self._key_value = make_key_value_store(common.platform_url)
        self._platform = PlatformLink(
            self._key_value, make_instance_list(common.platform_url), self._on_event
        )
        self._conns = HttpConnections(cfg.common.memory_mb * BYTES_PER_MB)
        self._streams: dict[str, CallerEvents] = {}
        self._group: TaskGroup
        self._stop = anyio.Event()

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.transport.run)
            group.start_soon(self._platform.run, self._cfg.common.segments)
            group.start_soon(self._tick)
            group.start_soon(self._watch_signals)
            log.info("entry started", extra={"member": self.member})
            await serve_http(
                self._make_app(),
                self._cfg.common.http,
                self._stop,
                tls_cert=self._cfg.tls_cert,
                tls_key=self._cfg.tls_key,
                conns=self._conns,
            )
            group.cancel_scope.cancel()
        log.info("entry stopped", extra={"member": self.member})

    def _make_app(self) -> Starlette:
        cfg = self._cfg
        callers = CallerApi(self, split_pairs(cfg.caller_tokens), cfg.max_body)
        operators = OperatorApi(self, split_pairs(cfg.operator_tokens))
        daemon_routes = [
            Route("/healthz", self._health),
            entry_metrics_route(self.core, self.transport.counts),
        ]
        return Starlette(
            routes=[*callers.routes(), *operators.routes(), *daemon_routes]
        )

    async def _health(self, req: Request) -> Response:
        core = self.core
        is_placed = len(core.placement.rows) == self._cfg.common.slots
        return JSONResponse(
            {
                "member": self.member,
                "ready": is_placed and core.revision > 0,
                "placed": is_placed,
                "revisions": core.docs.revisions(),
                "waiting": core.waiting,
            }
        )

    # Events and effects of the core

    def _on_message(self, sender: str, message: Message) -> None:
        self._execute(self.core.receive(sender, message, time.time()))

    def _on_event(self, event: Event) -> None:
        match event:
            case InstancesSeen(instances):
                self._execute(self.core.set_instances(instances))
            case KvValue() | KvWritten():
                self._execute(self.core.on_kv(event))
            case _:
                pass

    def _execute(self, effects: Sequence[Effect | DeliverToCaller]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.transport.send(to, message)
                case DeliverToCaller(request_id, event):
                    events = self._streams.get(request_id)
                    if events is not None:
                        events.put(event)
                case KvRead() | KvSwap() | KvWatch():
                    self._platform.execute(effect, self._group)
                case _:
                    pass

    async def _tick(self) -> None:
        while True:
            self._execute(self.core.tick(time.time()))
            await anyio.sleep(TICK_INTERVAL_S)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log.info("planned stop", extra={"member": self.member})
                self._stop.set()

    # Gateway

    @asynccontextmanager
    async def open_request(
        self, spec: RequestSpec
    ) -> AsyncIterator[AsyncIterator[CallerEvent]]:
        """Submit a request and yield its events."""
        request_id = uuid.uuid4().hex
        span = start_span(self._tracer, f"entry {spec.kind}", "", request=request_id)
        events = CallerEvents(self._conns.buffers)
        self._streams[request_id] = events
        try:
            traced = spec._replace(trace=traceparent_of(span))
            self._execute(self.core.submit(request_id, traced, time.time()))
            yield events.until_final()
        finally:
            self.core.drop_request(request_id)
            del self._streams[request_id]
            events.close()
            span.end()

    async def list_programs(self, customer: str, limit: int) -> ProgramRows:
        """List the programs of all primaries."""
        request_id = uuid.uuid4().hex
        events = CallerEvents(self._conns.buffers)
        self._streams[request_id] = events
        try:
            self._execute(
                self.core.list_programs(request_id, customer, limit, time.time())
            )
            event = await events.get()
        finally:
            del self._streams[request_id]
            events.close()
        if event is None:
            # Dropped for lack of memory: nothing is known of any primary.
            return ProgramRows((), self._cfg.common.slots)
        assert isinstance(event, ProgramRows), "a listing ends with its rows"
        return event

    async def change(
        self, change_id: str, build_change: Callable[[Config], Change], expected: int
    ) -> int | Failure:
        """Apply a change of the configuration."""
        outcome = await make_change(self._key_value, change_id, build_change, expected)
        if isinstance(outcome, Failure):
            return outcome
        event = KvWritten(CONFIG_KEY, outcome.revision, outcome.value)
        self._execute(self.core.on_kv(event))
        return outcome.revision

    def config(self) -> tuple[int, Config]:
        """Return the configuration in force in this process, with its revision."""
        return self.core.revision, self.core.config

    def instances(self) -> tuple[Instance, ...]:
        """Return the instance list."""
        return self.core.instances

    def slot_rows(self) -> list[SlotRow]:
        """Return the slot table."""
        return list(self.core.placement.rows.values())
