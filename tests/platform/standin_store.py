"""A stand-in for the platform's store that implements its protocol on loopback."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import msgspec

from wisteriastair.core.routes import CallerLimits
from wisteriastair.http1.caller import CallerConnection, Handler
from wisteriastair.http1.messages import BadRequest, Request

HOST = "127.0.0.1"


class StoreStandin(Handler):
    """Keys with one revision counter, watches, and the faults of a real store.

    Attributes
    ----------
    down : bool
        Every call gets status 503 and has no effect.
    responses_to_drop : int
        Number of next writes that take effect but whose responses are lost.
    watches_to_mute : int
        Number of next watches that get no response while their connections stay open.
    withholds_changes : bool
        Watches report the newest revision without its changes.
    page : int
        Number of items in one page of a range read.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.oldest_revision = 0
        self.down = False
        self.responses_to_drop = 0
        self.watches_to_mute = 0
        self.withholds_changes = False
        self.page = 2
        self.calls: list[str] = []
        self.address = ""
        self.caller_conns: set[CallerConnection] = set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a key, as the operators or a server would."""
        self.put_text(key, b64encode(value).decode())

    def put_text(self, key: str, text: str) -> None:
        """Write a key with its value as sent in responses, base64 or not."""
        self.revision += 1
        item = {"key": key, "value": text, "rev": self.revision}
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "rev": self.revision, "removed": True})

    def forget_history(self) -> None:
        """Drop all history and abort the pending watches."""
        self.history.clear()
        self.oldest_revision = self.revision
        for caller_conn in list(self.caller_conns):
            caller_conn.abort()

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Respond to an invalid request."""
        caller_conn.respond(bad.status, [], b"")

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Handle a call."""
        path = req.path
        self.calls.append(path)
        if self.down:
            caller_conn.respond(503, [], b"")
            return
        query = {k: v[0] for k, v in parse_qs(urlsplit(req.target).query).items()}
        if path == "/v1/kv-range":
            self._range(query, caller_conn)
        elif path == "/v1/kv-watch":
            await self._watch(query, caller_conn)
        else:
            self._write(req.body, caller_conn)

    def _range(self, query: dict[str, str], caller_conn: CallerConnection) -> None:
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k > after)
        found = [self.items[key] for key in keys[: self.page]]
        self._respond(caller_conn, items=found, truncated=len(keys) > self.page)

    async def _watch(
        self, query: dict[str, str], caller_conn: CallerConnection
    ) -> None:
        after = int(query["after"])
        if after < self.oldest_revision:
            caller_conn.respond(410, [], b"")
            return
        if after >= self.revision:
            with anyio.move_on_after(int(query["waitMs"]) / 1000):
                await self._changed.wait()
        if self.watches_to_mute:
            self.watches_to_mute -= 1
            await anyio.sleep_forever()
        events = [event for event in self.history if event["rev"] > after]
        if self.withholds_changes:
            events = []
        self._respond(caller_conn, events=events)

    def _write(self, body: bytes, caller_conn: CallerConnection) -> None:
        call = msgspec.json.decode(body)
        for row in call["precondition"]:
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                caller_conn.respond(412, [], b'{"items":[]}')
                return
        for key in call["remove"]:
            if key in self.items:
                self.remove(key)
        for put in call["puts"]:
            self.put(put["key"], b64decode(put["value"]))
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            caller_conn.abort()
            return
        self._respond(caller_conn, rev=self.revision)

    def _respond(self, caller_conn: CallerConnection, **body: Any) -> None:
        body["currentRev"] = self.revision
        caller_conn.respond(200, [], msgspec.json.encode(body))


@asynccontextmanager
async def standin_store() -> AsyncIterator[StoreStandin]:
    """Run a stand-in store."""
    store = StoreStandin()
    async with anyio.create_task_group() as group:
        listener = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(store, group, store.caller_conns), HOST, 0
        )
        store.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        yield store
        listener.close()
        group.cancel_scope.cancel()
