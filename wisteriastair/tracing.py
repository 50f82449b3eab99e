"""Traces: a span for each hop of a request.

The context is passed as a W3C ``traceparent`` string in messages between processes, and
as a header in requests to backend servers.  Spans are written as JSON lines on the
thread of the event loop, so no exporter thread is started.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import TextIO

from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


class _FileExporter(SpanExporter):
    def __init__(self, file: TextIO) -> None:
        self._file = file

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self._file.write(json.dumps(_span_as_dict(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS


def _span_as_dict(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    assert context is not None, "a finished span has a context"
    return {
        "name": span.name,
        "trace": f"{context.trace_id:032x}",
        "span": f"{context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


def make_tracer(path: str) -> Tracer:
    """Build a tracer that writes to a file; without a path, spans are discarded."""
    provider = TracerProvider()
    if path:
        file = open(path, "a", encoding="utf-8")  # noqa: SIM115
        provider.add_span_processor(SimpleSpanProcessor(_FileExporter(file)))
    return provider.get_tracer("wisteriastair")


def start_span(tracer: Tracer, name: str, parent: str, **attributes: str) -> Span:
    """Start a child span of a ``traceparent``; an empty parent starts a new trace."""
    context = _PROPAGATOR.extract({"traceparent": parent}) if parent else None
    return tracer.start_span(name, context=context, attributes=dict(attributes))


def traceparent_of(span: Span) -> str:
    """Return the ``traceparent`` of a span, the parent of the next hop's span."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=set_span_in_context(span))
    return carrier.get("traceparent", "")
