"""Bearer tokens of callers and operators."""

from __future__ import annotations

import hmac
from typing import Final

from starlette.requests import Request

SCHEME_PREFIX: Final = "bearer "


def owner_of_token(req: Request, tokens: dict[str, str]) -> str:
    """Return the owner of the bearer token of a request; empty if unknown.

    Every token is compared in constant time, so the duration does not reveal how much
    of a guess is right.
    """
    header = req.headers.get("authorization", "")
    given_token = (
        header[len(SCHEME_PREFIX) :] if header.lower().startswith(SCHEME_PREFIX) else ""
    )
    matching_owner = ""
    for owner, token in tokens.items():
        if hmac.compare_digest(token.encode(), given_token.encode()):
            matching_owner = owner
    return matching_owner
