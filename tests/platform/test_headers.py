"""Headers of requests: decoding, rejection, and the headers sent to a server."""

from __future__ import annotations

import pytest

from wisteriastair.http1.messages import Headers, Request
from wisteriastair.platform.headers import (
    MAX_TOKEN_COUNT,
    CallerRequest,
    InvalidHeader,
    decode_request,
    forwarded_headers,
)


def request(**more: str) -> Request:
    headers: Headers = [(b"Host", b"h:80"), (b"X-Request-Id", b"q")]
    headers += [(k.replace("_", "-").encode(), v.encode()) for k, v in more.items()]
    return Request("POST", "/turn/x", headers, b"", True, 0.0)


def test_headers_of_a_turn_are_decoded() -> None:
    asked = decode_request(
        request(
            X_Deadline_Ms="3000",
            X_Token_Usage="1460,80",
            X_Token_Budget="4640",
            X_Prompt_Prefix="5c:800, 91:410",
        )
    )
    assert isinstance(asked, CallerRequest)
    assert (asked.host, asked.wait_s, asked.budget) == ("h", 3.0, 4640)
    assert (asked.prompt_tokens, asked.output_tokens) == (1460, 80)
    assert [(part.id, part.tokens) for part in asked.parts] == [
        ("5c", 800),
        ("91", 410),
    ]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X_Deadline_Ms", "nan"),
        ("X_Deadline_Ms", "inf"),
        ("X_Deadline_Ms", "-5"),
        ("X_Finish_Ms", "soon"),
        ("X_Token_Budget", "1e400"),
        ("X_Token_Usage", "10,-200"),
        ("X_Token_Usage", "many,1"),
        # Larger than any float: sums of tokens would raise in other requests too.
        ("X_Token_Usage", "1" + 400 * "0" + ",1"),
        ("X_Token_Usage", f"1,{MAX_TOKEN_COUNT + 1}"),
        ("X_Prompt_Prefix", "5c:1" + 400 * "0"),
        ("X_Prompt_Prefix", "5c:-1"),
        ("X_Prompt_Prefix", "5c"),
    ],
)
def test_invalid_numbers_are_rejected(name: str, value: str) -> None:
    """A caller sends a number that is invalid, infinite or negative.

    "nan" would fail when it is used and close the connection without a response.  A
    negative number of tokens would raise the remaining budget above its limit.
    """
    assert isinstance(decode_request(request(**{name: value})), InvalidHeader)


def test_system_headers_of_callers_are_dropped() -> None:
    """A caller sends headers that would lease engine memory or reuse a cache."""
    req = request(X_Hold="1", X_Pin_Ms="9", Kv_From="a/b", X_Other="kept")
    headers = dict(
        forwarded_headers(
            req, remaining_s=1.5, server_id="s1", body_bytes=0, engine_priority=3
        )
    )
    assert headers[b"X-Other"] == b"kept"
    assert headers[b"X-Deadline-Ms"] == b"1500"
    assert headers[b"X-Expect-Instance"] == b"s1"
    assert headers[b"X-Request-Priority"] == b"3"
    assert not {b"X-Hold", b"X-Pin-Ms", b"Kv-From"} & headers.keys()
