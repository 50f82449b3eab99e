"""The shell of a side process: passes events to the core and executes its effects."""

from __future__ import annotations

import logging
import os
import signal
import time
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..core.events import (
    BackendCacheReport,
    BackendCall,
    BackendCancel,
    BackendRelease,
    BackendText,
    Drained,
    Effect,
    Event,
    KvRead,
    KvSwap,
    KvWatch,
    LogMessage,
    Received,
    Send,
    StopRequested,
    Tick,
)
from ..core.gate import GateLimits
from ..core.hashing import address_of
from ..core.routing import EngineModel
from ..core.side import SideCore
from ..core.side import SideOptions as CoreOptions
from ..core.wire import GateCall, Message, ProgramStart
from ..engines.client import make_engine
from ..metrics import make_side_app
from ..options import BYTES_PER_MB, SideOptions, split_pairs
from ..peers.corecodec import CORE_CODEC
from ..peers.transport import Transport
from ..platform.instances import make_instance_list
from ..platform.kv import make_key_value_store
from ..services.client import make_plain_service
from ..tracing import make_tracer, start_span, traceparent_of
from .connections import HttpConnections
from .platform_link import PlatformLink
from .web import serve_http

TICK_INTERVAL_S: Final = 0.1
CACHE_REPORT_INTERVAL_S: Final = 5.0
INCARNATION_BYTES: Final = 6

log = logging.getLogger(__name__)


def make_member_id(address: str) -> str:
    """Return a member id for this start of the process at an address."""
    return f"{address}#{os.urandom(INCARNATION_BYTES).hex()}"


class SideShell:
    """Runs a `SideCore` with real time, sockets and backend servers."""

    def __init__(self, cfg: SideOptions) -> None:
        common = cfg.common
        self.member = make_member_id(common.listen)
        models = split_pairs(cfg.models)
        plain = split_pairs(cfg.plain)
        self.core = SideCore(
            CoreOptions(
                self.member,
                common.domain,
                (*models, *plain),
                common.slots,
                common.segments,
                cfg.router,
                cfg.order,
                GateLimits(cfg.running, cfg.kv_tokens, cfg.queued),
                EngineModel(cfg.prefill_tokens_s),
                cfg.max_active,
                cfg.max_wait_s,
                cfg.stop_s,
            )
        )
        self.transport = Transport(
            self.member,
            self._on_message,
            deployment=common.deployment,
            codec=CORE_CODEC,
        )
        self.busy_s = 0.0
        self._cfg = cfg
        self._tracer = make_tracer(common.trace_file)
        self._engines = {name: make_engine(url) for name, url in models.items()}
        self._plain = {name: make_plain_service(url) for name, url in plain.items()}
        self._platform = PlatformLink(
            make_key_value_store(common.platform_url),
            make_instance_list(common.platform_url),
            self.deliver,
        )
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
            group.start_soon(self._report_caches)
            log.info("side process started", extra={"member": self.member})
            # The server returns once `_stop` is set.  Cancelling it during its shutdown
            # makes it raise, and a planned stop would look like a crash.
            counts = self.transport.counts
            app = make_side_app(self.member, self.core, counts, lambda: self.busy_s)
            await serve_http(
                app,
                self._cfg.common.http,
                self._stop,
                conns=HttpConnections(self._cfg.common.memory_mb * BYTES_PER_MB),
            )
            group.cancel_scope.cancel()
        log.info("side process stopped", extra={"member": self.member})

    def deliver(self, event: Event) -> None:
        """Pass one event to the core and execute the effects."""
        started_at = time.perf_counter()
        effects = self.core.step(event, time.time())
        for effect in effects:
            self._execute(effect)
        self.busy_s += time.perf_counter() - started_at

    def _on_message(self, sender: str, message: Message) -> None:
        if isinstance(message, ProgramStart):
            message = self._trace_start(message)
        self.deliver(Received(sender, message))

    def _trace_start(self, message: ProgramStart) -> ProgramStart:
        span = start_span(
            self._tracer, "carrier", message.trace, program=message.program
        )
        span.end()
        return message._replace(trace=traceparent_of(span))

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self.transport.send(to, message)
            case KvRead() | KvSwap() | KvWatch():
                self._platform.execute(effect, self._group)
            case BackendCall(call):
                self._group.start_soon(self._call_backend, call)
            case BackendCancel(call_id, server):
                engine = self._engines.get(server)
                if engine is not None:
                    self._group.start_soon(engine.cancel, call_id)
            case BackendRelease(server, programs):
                if server in self._engines:
                    self._group.start_soon(self._release, server, programs)
            case LogMessage(level, text, program):
                level_number = logging.getLevelName(level.upper())
                extra = {"member": self.member, "program": program}
                log.log(level_number, text, extra=extra)
            case Drained():
                self._stop.set()

    async def _release(self, server: str, programs: tuple[str, ...]) -> None:
        await self._engines[server].release(programs)

    async def _call_backend(self, call: GateCall) -> None:
        hop = "engine" if call.kind == "model" else "service"
        span = start_span(
            self._tracer,
            f"gate {hop}",
            call.trace,
            program=call.call.program,
            server=call.server,
        )
        traced = call._replace(trace=traceparent_of(span))
        if call.server in self._engines:
            ended = await self._engines[call.server].run(
                traced, lambda text: self.deliver(BackendText(call.call, text))
            )
        else:
            ended = await self._plain[call.server].run(traced)
        span.set_attribute("status", ended.status)
        span.end()
        self.deliver(ended)

    async def _tick(self) -> None:
        while True:
            self.deliver(Tick())
            await anyio.sleep(TICK_INTERVAL_S)

    async def _report_caches(self) -> None:
        """Report to the core periodically which programs the engines have cached."""
        while True:
            await anyio.sleep(CACHE_REPORT_INTERVAL_S)
            for server, engine in self._engines.items():
                cached = await engine.cached_programs()
                if cached is not None:
                    self.deliver(BackendCacheReport(server, cached))

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                if self.core.peers.draining:
                    text = "second signal: exiting without handing over"
                    log.warning(text, extra={"member": self.member})
                    self._stop.set()
                log.info("planned stop", extra={"member": self.member})
                self.deliver(StopRequested())

    @property
    def address(self) -> str:
        """Address at which other processes reach this one."""
        return address_of(self.member)
