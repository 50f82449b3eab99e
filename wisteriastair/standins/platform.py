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


class _StoredValue:
    """A value with its revision and its lease; lease 0 means none."""

    def __init__(self, revision: int, value: bytes, lease: int) -> None:
        self.revision = revision
        self.value = value
        self.lease = lease


class PlatformStandin:
    """Serves the key-value service and the instance list.

    Parameters
    ----------
    lag_s : float
        Delay in seconds until a change of the instance list is visible.
    reads_per_s, writes_per_s : int
        Calls per second that the key-value service accepts; 0 for no limit.
    """

    def __init__(
        self, lag_s: float, reads_per_s: int = 2_000, writes_per_s: int = 300
    ) -> None:
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "limited": 0}
        self._lag_s = lag_s
        self._limits = {"reads": reads_per_s, "writes": writes_per_s}
        self._rate_windows: dict[str, tuple[int, int]] = {}
        self._keys: dict[str, _StoredValue] = {}
        self._revision = 0
        self._value_changed = anyio.Event()
        self._mode = "up"
        self._delay_s = 0.0
        self._responses_to_drop = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._instance_history: list[tuple[float, dict[str, dict[str, Any]]]] = [
            (0.0, {})
        ]
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
                Route("/v1/instances/{name}", self.delete_instance, methods=["DELETE"]),
                Route("/control", self.control, methods=["POST"]),
                Route("/records", self.get_records),
            ]
        )

    async def _check_fault(self, kind: str) -> Response | None:
        """Apply the rate limits and the configured fault to a call."""
        second = int(time.monotonic())
        last_second, count = self._rate_windows.get(kind, (second, 0))
        count = count + 1 if last_second == second else 1
        self._rate_windows[kind] = (second, count)
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
        failure = await self._check_fault("reads")
        if failure is not None:
            return failure
        self._remove_expired_leases()
        stored = self._keys.get(http.path_params["key"])
        if stored is None:
            return JSONResponse({"error": "absent"}, status_code=404)
        return JSONResponse({"revision": stored.revision, "value": _b64(stored.value)})

    async def swap(self, http: Request) -> Response:
        """Write a key if it is at the expected revision."""
        value = await http.body()
        failure = await self._check_fault("writes")
        if failure is not None:
            return failure
        if len(value) > MAX_VALUE_BYTES:
            return JSONResponse({"error": "too large"}, status_code=413)
        self._remove_expired_leases()
        key = http.path_params["key"]
        stored = self._keys.get(key)
        current_revision = stored.revision if stored is not None else 0
        if current_revision != int(http.query_params["revision"]):
            return JSONResponse({"revision": current_revision}, status_code=409)
        self._put(key, value, int(http.query_params.get("lease", 0)))
        if self._responses_to_drop > 0:
            self._responses_to_drop -= 1
            return JSONResponse({"error": "answer lost"}, status_code=504)
        return JSONResponse({"revision": self._revision})

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        self._keys[key] = _StoredValue(self._revision, value, lease)
        record = {"key": key, "revision": self._revision, "value": _b64(value)}
        self._log.append(record)
        self._value_changed.set()
        self._value_changed = anyio.Event()

    async def watch(self, http: Request) -> Response:
        """Wait for keys that changed after a revision."""
        failure = await self._check_fault("watches")
        if failure is not None:
            return failure
        after = int(http.query_params["after"])
        with anyio.move_on_after(float(http.query_params["wait"])):
            while self._revision <= after:
                await self._value_changed.wait()
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
        """Renew a lease that has not expired."""
        self._remove_expired_leases()
        lease = http.path_params["lease"]
        if lease not in self._leases:
            return JSONResponse({"error": "lapsed"}, status_code=404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return JSONResponse({})

    def _remove_expired_leases(self) -> None:
        now = time.monotonic()
        expired = {lease for lease, (_, end) in self._leases.items() if end < now}
        for lease in expired:
            del self._leases[lease]
        for name in [n for n, key in self._keys.items() if key.lease in expired]:
            del self._keys[name]

    # Instance list

    async def instances(self, http: Request) -> Response:
        """Return the list as it was before the lag."""
        as_of = time.monotonic() - self._lag_s
        rows: dict[str, dict[str, Any]] = {}
        for changed_at, state in self._instance_history:
            if changed_at <= as_of:
                rows = state
        return JSONResponse([rows[name] for name in sorted(rows)])

    async def put_instance(self, http: Request) -> Response:
        """Add or change an instance."""
        name = http.path_params["name"]
        self._set_instances({**self._instance_history[-1][1], name: await http.json()})
        return JSONResponse({})

    async def delete_instance(self, http: Request) -> Response:
        """Remove an instance."""
        rows = dict(self._instance_history[-1][1])
        rows.pop(http.path_params["name"], None)
        self._set_instances(rows)
        return JSONResponse({})

    def _set_instances(self, rows: dict[str, dict[str, Any]]) -> None:
        self._instance_history.append((time.monotonic(), rows))

    async def control(self, http: Request) -> Response:
        """Set the faults: mode, delay, number of responses lost after the write."""
        settings = await http.json()
        self._mode = settings.get("mode", self._mode)
        self._delay_s = float(settings.get("delay_s", self._delay_s))
        self._responses_to_drop += int(settings.get("lose", 0))
        self._value_changed.set()
        self._value_changed = anyio.Event()
        return JSONResponse({})

    async def get_records(self, http: Request) -> Response:
        """Return the call counts and every write."""
        return JSONResponse({"counts": self.counts, "log": self._log})


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()
