"""Access of a daemon to the instance list and the key-value service of the platform.

Every process polls the instance list and reads all documents once at startup.  Only the
few processes that the core selects watch the documents for changes.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..core.config import CONFIG_KEY
from ..core.events import (
    Event,
    InstancesSeen,
    KvRead,
    KvSwap,
    KvWatch,
)
from ..core.placement import SEGMENT_PREFIX
from ..platform.instances import InstanceList
from ..platform.kv import KeyValueStore

INSTANCE_POLL_INTERVAL_S: Final = 2.0
WATCH_RETRY_S: Final = 0.5
INITIAL_READ_ATTEMPTS: Final = 3
INITIAL_READ_RETRY_S: Final = 0.3

OnEvent = Callable[[Event], None]


class PlatformLink:
    """Executes the core's platform effects and passes the resulting events to it."""

    def __init__(
        self, key_value: KeyValueStore, instances: InstanceList, on_event: OnEvent
    ) -> None:
        self.call_count = 0
        self._key_value = key_value
        self._instances = instances
        self._on_event = on_event
        self._is_watch_active = False
        self._watch_changed = anyio.Event()
        self._newest_revision = 0

    async def run(self, segments: int) -> None:
        """Poll instances, read documents once and watch on request, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_instances)
            group.start_soon(self._read_at_startup, segments)
            group.start_soon(self._watch)

    def execute(self, effect: KvRead | KvSwap | KvWatch, group: TaskGroup) -> None:
        """Execute an effect of the core."""
        match effect:
            case KvRead(key):
                group.start_soon(self._read, key)
            case KvSwap():
                group.start_soon(self._swap, effect)
            case KvWatch(active):
                self._is_watch_active = active
                self._watch_changed.set()

    async def _read(self, key: str) -> None:
        self.call_count += 1
        self._on_event(await self._key_value.read(key))

    async def _swap(self, effect: KvSwap) -> None:
        self.call_count += 1
        self._on_event(
            await self._key_value.swap(effect.key, effect.revision, effect.value)
        )

    async def _poll_instances(self) -> None:
        while True:
            rows = await self._instances.read()
            if rows is not None:
                self._on_event(InstancesSeen(rows))
            await anyio.sleep(INSTANCE_POLL_INTERVAL_S)

    async def _read_at_startup(self, segments: int) -> None:
        """Read all documents once.

        If the service is unavailable, the core gets the documents from its peers: it
        requests the newest ones from one peer every second.
        """
        keys = [CONFIG_KEY, *(f"{SEGMENT_PREFIX}{n}" for n in range(segments))]
        for key in keys:
            for _ in range(INITIAL_READ_ATTEMPTS):
                self.call_count += 1
                event = await self._key_value.read(key)
                self._on_event(event)
                if not hasattr(event, "wrote"):
                    break
                await anyio.sleep(INITIAL_READ_RETRY_S)

    async def _watch(self) -> None:
        while True:
            if not self._is_watch_active:
                await self._watch_changed.wait()
                self._watch_changed = anyio.Event()
                continue
            self.call_count += 1
            started_at = time.monotonic()
            events = await self._key_value.watch(self._newest_revision)
            for event in events or ():
                self._newest_revision = max(self._newest_revision, event.revision)
                self._on_event(event)
            if events is None or time.monotonic() - started_at < WATCH_RETRY_S / 10:
                await anyio.sleep(WATCH_RETRY_S)
