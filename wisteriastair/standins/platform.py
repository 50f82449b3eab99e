"""The stand-in platform: key-value service and instance list over HTTP."""

from __future__ import annotations

import base64
import time
from typing import Any, Final

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

MAX_VALUE_BYTES: Final = 1_000_000


class _Key:
    """A key's value and revision, and the lease it hangs on."""

    def __init__(self, revision: int, value: bytes, lease: int) -> None:
        self.revision = revision
        self.value = value
        self.lease = lease


class PlatformStandin:
    """Serves the key-value service and the instance list.

    Parameters
    ----------
    lag_s : float
        Seconds by which the instance list lags.
    reads_s, writes_s : int
        Calls a second that the key-value service takes; 0 for no limit.
    """

    def __init__(self, lag_s: float, reads_s: int = 2_000, writes_s: int = 300) -> None:
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "limited": 0}
        self._lag_s = lag_s
        self._limits = {"reads": reads_s, "writes": writes_s}
        self._window: dict[str, tuple[int, int]] = {}
        self._keys: dict[str, _Key] = {}
        self._revision = 0
        self._changed = anyio.Event()
        self._mode = "up"
        self._delay_s = 0.0
        self._lose = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._history: list[tuple[float, dict[str, dict[str, Any]]]] = [(0.0, {})]
        self._log: list[dict[str, Any]] = []

    def app(self) -> Starlette:
        """Build the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/kv/{key:path}", self.read, methods=["GET"]),
                Route("/v1/kv/{key:path}", self.swap, methods=["PUT"]),
                Route("/v1/watch", self.watch),
                Route("/v1/leases", self.grant, methods=["POST"]),
                Route("/v1/leases/{lease:int}", self.renew, methods=["POST"]),
                Route("/v1/instances", self.instances),
                Route("/v1/instances/{name}", self.put_instance, methods=["PUT"]),
                Route("/v1/instances/{name}", self.drop, methods=["DELETE"]),
                Route("/control", self.control, methods=["POST"]),
                Route("/records", self.get_records),
            ]
        )

    async def _fault(self, kind: str) -> Response | None:
        """Apply the present fault and the rate limits to a call."""
        second = int(time.monotonic())
        at, count = self._window.get(kind, (second, 0))
        count = count + 1 if at == second else 1
        self._window[kind] = (second, count)
        self.counts[kind] += 1
        limit = self._limits.get(kind, 0)
        if limit and count > limit:
            self.counts["limited"] += 1
            return JSONResponse({"error": "rate limit"}, status_code=429)
        if self._mode == "down":
            return JSONResponse({"error": "down"}, status_code=503)
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        return None

    async def read(self, http: Request) -> Response:
        """Read a key."""
        fault = await self._fault("reads")
        if fault is not None:
            return fault
        self._expire()
        found = self._keys.get(http.path_params["key"])
        if found is None:
            return JSONResponse({"error": "absent"}, status_code=404)
        return JSONResponse({"revision": found.revision, "value": _b64(found.value)})

    async def swap(self, http: Request) -> Response:
        """Write a key if it is still at the revision given."""
        value = await http.body()
        fault = await self._fault("writes")
        if fault is not None:
            return fault
        if len(value) > MAX_VALUE_BYTES:
            return JSONResponse({"error": "too large"}, status_code=413)
        self._expire()
        key = http.path_params["key"]
        found = self._keys.get(key)
        present = found.revision if found is not None else 0
        if present != int(http.query_params["revision"]):
            return JSONResponse({"revision": present}, status_code=409)
        self._put(key, value, int(http.query_params.get("lease", 0)))
        if self._lose > 0:
            self._lose -= 1
            return JSONResponse({"error": "answer lost"}, status_code=504)
        return JSONResponse({"revision": self._revision})

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        self._keys[key] = _Key(self._revision, value, lease)
        record = {"key": key, "revision": self._revision, "value": _b64(value)}
        self._log.append(record)
        self._changed.set()
        self._changed = anyio.Event()

    async def watch(self, http: Request) -> Response:
        """Wait for keys changed after a revision."""
        fault = await self._fault("watches")
        if fault is not None:
            return fault
        after = int(http.query_params["after"])
        with anyio.move_on_after(float(http.query_params["wait"])):
            while self._revision <= after:
                await self._changed.wait()
        if self._mode == "down":
            return JSONResponse({"error": "down"}, status_code=503)
        items = [
            {"key": name, "revision": key.revision, "value": _b64(key.value)}
            for name, key in self._keys.items()
            if key.revision > after
        ]
        return JSONResponse(items)

    async def grant(self, http: Request) -> Response:
        """Grant a lease."""
        ttl_s = float((await http.json())["ttl_s"])
        lease = len(self._leases) + 1
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return JSONResponse({"lease": lease})

    async def renew(self, http: Request) -> Response:
        """Renew a lease that has not lapsed."""
        self._expire()
        lease = http.path_params["lease"]
        if lease not in self._leases:
            return JSONResponse({"error": "lapsed"}, status_code=404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return JSONResponse({})

    def _expire(self) -> None:
        now = time.monotonic()
        lapsed = {lease for lease, (_, end) in self._leases.items() if end < now}
        for lease in lapsed:
            del self._leases[lease]
        for name in [n for n, key in self._keys.items() if key.lease in lapsed]:
            del self._keys[name]

    # Instance list

    async def instances(self, http: Request) -> Response:
        """Return the list as it was a while ago."""
        then = time.monotonic() - self._lag_s
        rows: dict[str, dict[str, Any]] = {}
        for at, state in self._history:
            if at <= then:
                rows = state
        return JSONResponse([rows[name] for name in sorted(rows)])

    async def put_instance(self, http: Request) -> Response:
        """Add or change an instance."""
        name = http.path_params["name"]
        self._change({**self._history[-1][1], name: await http.json()})
        return JSONResponse({})

    async def drop(self, http: Request) -> Response:
        """Remove an instance."""
        rows = dict(self._history[-1][1])
        rows.pop(http.path_params["name"], None)
        self._change(rows)
        return JSONResponse({})

    def _change(self, rows: dict[str, dict[str, Any]]) -> None:
        self._history.append((time.monotonic(), rows))

    async def control(self, http: Request) -> Response:
        """Fail on demand: mode, delay, answers lost after the write."""
        wanted = await http.json()
        self._mode = wanted.get("mode", self._mode)
        self._delay_s = float(wanted.get("delay_s", self._delay_s))
        self._lose += int(wanted.get("lose", 0))
        self._changed.set()
        self._changed = anyio.Event()
        return JSONResponse({})

    async def get_records(self, http: Request) -> Response:
        """Return call counts and every write."""
        return JSONResponse({"counts": self.counts, "log": self._log})


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()
