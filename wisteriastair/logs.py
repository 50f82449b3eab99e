"""Structured logs: one JSON object per line.

A daemon must never wait for the reader of its logs.  Lines are written to a
non-blocking file descriptor.  Lines that it does not accept are dropped and counted,
and the next line that is written contains the number of dropped lines before it.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import Any, Final

import msgspec

# Attributes of every log record; all others were passed as ``extra``.
STANDARD_ATTRIBUTES: Final = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None)).keys()
) | {"message", "asctime", "taskName"}
# Linux writes up to this many bytes (PIPE_BUF) to a pipe completely or not at all.
# Longer lines are truncated.
MAX_LINE_BYTES: Final = 4096


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON, with the fields that were passed as ``extra``.

    Parameters
    ----------
    instance : str
        Name of the instance, which each line contains; empty for none.
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
            if name not in STANDARD_ATTRIBUTES and value not in ("", None):
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class NonBlockingHandler(logging.Handler):
    """Writes lines without blocking; drops and counts lines that are not accepted."""

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped_count = 0
        self._fd = fd
        self._unreported_drops = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        if self._unreported_drops:
            record.dropped_before = self._unreported_drops
        data = (self.format(record) + "\n").encode()[:MAX_LINE_BYTES]
        try:
            os.write(self._fd, data)
        except (BlockingIOError, BrokenPipeError):
            self.dropped_count += 1
            self._unreported_drops += 1
            return
        self._unreported_drops = 0


def set_up_logs(level: str) -> None:
    """Send all logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    _install(handler, level)


def set_up_daemon_logs(level: str, instance: str = "") -> None:
    """Send all logs to standard output as JSON lines, without blocking."""
    _install(NonBlockingHandler(sys.stdout.fileno()), level, instance)


def dropped_line_count() -> int:
    """Return the number of lines that were dropped since the start."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped_count for h in handlers if isinstance(h, NonBlockingHandler))


def _install(handler: logging.Handler, level: str, instance: str = "") -> None:
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for library in ("httpx", "httpcore", "hypercorn.error", "hypercorn.access"):
        logging.getLogger(library).setLevel(logging.WARNING)
