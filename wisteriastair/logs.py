"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any, Final

FIELDS: Final = ("member", "request", "program", "operator")


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON with the ids that were given as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": record.getMessage(),
        }
        for name in FIELDS:
            value = getattr(record, name, "")
            if value:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


def set_up_logs(level: str) -> None:
    """Send all logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for noisy in ("httpx", "httpcore", "hypercorn.error", "hypercorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
