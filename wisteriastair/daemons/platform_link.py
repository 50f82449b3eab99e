"""The daemon's side of the platform: list, documents, watch, writes.

Every process reads the instance list now and then, and the documents once at its
start.  Only the few that the core chooses keep a watch waiting.
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

INSTANCES_EVERY_S: Final = 2.0
WATCH_RETRY_S: Final = 0.5
START_TRIES: Final = 3
START_RETRY_S: Final = 0.3

Deliver = Callable[[Event], None]


class PlatformLink:
    """Carries out the core's platform effects and delivers what comes back."""

    def __init__(
        self, key_value: KeyValueStore, instances: InstanceList, deliver: Deliver
    ) -> None:
        self.calls = 0
        self._key_value = key_value
        self._instances = instances
        self._deliver = deliver
        self._watch_wanted = False
        self._watch_changed = anyio.Event()
        self._newest = 0

    async def run(self, segments: int) -> None:
        """Poll, read at the start, watch when asked, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_instances)
            group.start_soon(self._read_at_start, segments)
            group.start_soon(self._watch)

    def do(self, effect: KvRead | KvSwap | KvWatch, group: TaskGroup) -> None:
        """Carry out an effect of the core."""
        match effect:
            case KvRead(key):
                group.start_soon(self._read, key)
            case KvSwap():
                group.start_soon(self._swap, effect)
            case KvWatch(active):
                self._watch_wanted = active
                self._watch_changed.set()

    async def _read(self, key: str) -> None:
        self.calls += 1
        self._deliver(await self._key_value.read(key))

    async def _swap(self, effect: KvSwap) -> None:
        self.calls += 1
        self._deliver(
            await self._key_value.swap(effect.key, effect.revision, effect.value)
        )

    async def _poll_instances(self) -> None:
        while True:
            rows = await self._instances.read()
            if rows is not None:
                self._deliver(InstancesSeen(rows))
            await anyio.sleep(INSTANCES_EVERY_S)

    async def _read_at_start(self, segments: int) -> None:
        """Read all documents once.

        If the service is down, peers give the newest documents they have: the core
        asks one of them every second.
        """
        keys = [CONFIG_KEY, *(f"{SEGMENT_PREFIX}{n}" for n in range(segments))]
        for key in keys:
            for _ in range(START_TRIES):
                self.calls += 1
                event = await self._key_value.read(key)
                self._deliver(event)
                if not hasattr(event, "wrote"):
                    break
                await anyio.sleep(START_RETRY_S)

    async def _watch(self) -> None:
        while True:
            if not self._watch_wanted:
                await self._watch_changed.wait()
                self._watch_changed = anyio.Event()
                continue
            self.calls += 1
            started = time.monotonic()
            events = await self._key_value.watch(self._newest)
            for event in events or ():
                self._newest = max(self._newest, event.revision)
                self._deliver(event)
            if events is None or time.monotonic() - started < WATCH_RETRY_S / 10:
                await anyio.sleep(WATCH_RETRY_S)
