"""Bearer tokens of callers and operators."""

from __future__ import annotations

import hmac
from typing import Final

from starlette.requests import Request

SCHEME: Final = "bearer "


def owner_of_token(http: Request, tokens: dict[str, str]) -> str:
    """Whose token a request carries; empty if nobody's.

    Every token is compared, each in constant time, so the time taken tells nothing
    about how much of a guess was right.
    """
    header = http.headers.get("authorization", "")
    given = header[len(SCHEME) :] if header.lower().startswith(SCHEME) else ""
    found = ""
    for owner, token in tokens.items():
        if hmac.compare_digest(token.encode(), given.encode()):
            found = owner
    return found
