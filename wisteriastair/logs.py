"""Structured logs: one JSON object a line.

A daemon must never wait for who reads its logs.  Lines are handed to a file descriptor
that does not block; what it does not take is dropped and counted, and the next line
that gets through says how many were lost.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import Any, Final

import msgspec

# Attributes of every log record; whatever else a record has was given as ``extra``.
STANDARD: Final = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None)).keys()
) | {"message", "asctime", "taskName"}
# Bytes of a pipe that are written at once or not at all, so that lines stay whole.
PIPE_BYTES: Final = 4096


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON with the fields that were given as ``extra``.

    Parameters
    ----------
    instance : str
        Name of the instance, for whoever reads lines of several; empty for none.
    """

    def __init__(self, instance: str = "") -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Format one record."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": record.getMessage(),
        }
        if self._instance:
            line["instance"] = self._instance
        for name, value in vars(record).items():
            if name not in STANDARD and value not in ("", None):
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class NeverBlockingHandler(logging.Handler):
    """Writes lines to a descriptor; drops and counts what it does not take."""

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._untold = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        if self._untold:
            record.dropped_before = self._untold
        data = (self.format(record) + "\n").encode()[:PIPE_BYTES]
        try:
            os.write(self._fd, data)
        except (BlockingIOError, BrokenPipeError):
            self.dropped += 1
            self._untold += 1
            return
        self._untold = 0


def set_up_logs(level: str) -> None:
    """Send all logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    _install(handler, level)


def set_up_daemon_logs(level: str, instance: str = "") -> None:
    """Send all logs to standard output as JSON lines, without ever blocking."""
    _install(NeverBlockingHandler(sys.stdout.fileno()), level, instance)


def dropped_lines() -> int:
    """Count the lines that were dropped since the start."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped for h in handlers if isinstance(h, NeverBlockingHandler))


def _install(handler: logging.Handler, level: str, instance: str = "") -> None:
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for noisy in ("httpx", "httpcore", "hypercorn.error", "hypercorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
