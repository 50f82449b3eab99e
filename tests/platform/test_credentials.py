"""Keys of customers: which values are accepted, and that no key is passed on."""

from __future__ import annotations

import json

import pytest

from wisteriastair.core.customers import Quota, digest_key
from wisteriastair.core.routes import RouteTable
from wisteriastair.platform.credentials import key_digest, replace_keys_with_digests
from wisteriastair.platform.documents import InvalidDocument, decode_config

KEY = "timaj3nr26tta828m82t"
CONFIG = {
    "version": 7,
    "routes": [],
    "tenants": [
        {
            "name": "one",
            "apiKeys": [KEY],
            "priority": 1,
            "ratePerS": 191,
            "burst": 20,
        },
        {"name": "two", "apiKeys": ["other"]},
    ],
}


def headers(*values: bytes) -> list[tuple[bytes, bytes]]:
    return [(b"Host", b"h"), *((b"Authorization", value) for value in values)]


def table(**changes: object) -> RouteTable:
    document = json.dumps(CONFIG | changes).encode()
    decoded = decode_config(replace_keys_with_digests(document))
    assert isinstance(decoded, RouteTable)
    return decoded


def test_one_key_of_the_right_scheme_is_accepted() -> None:
    expected = digest_key(KEY.encode())
    assert key_digest(headers(b"Bearer " + KEY.encode())) == expected
    assert key_digest(headers(b"bearer  " + KEY.encode() + b" ")) == expected


@pytest.mark.parametrize(
    "values",
    [
        (),
        (b"",),
        (b"Bearer",),
        (b"Bearer ",),
        (b"Basic " + KEY.encode(),),
        (KEY.encode(),),
        (b"Bearer a b",),
        (b"Bearer " + b"x" * 10_000,),
        (b"Bearer \xc3\xa9",),
        (b"Bearer " + KEY.encode(), b"Bearer " + KEY.encode()),
        (b"Bearer " + KEY.encode(), b"Bearer other"),
    ],
    ids=str,
)
def test_anything_else_is_rejected(values: tuple[bytes, ...]) -> None:
    """A caller sends no key, two keys, another scheme or an invalid key."""
    assert key_digest(headers(*values)) == ""


def test_keys_in_the_configuration_are_replaced() -> None:
    """The document is sent between processes and written to disks.

    It must not contain a key: a reader of a disk or a message could use it to send
    requests as the customer.
    """
    document = replace_keys_with_digests(json.dumps(CONFIG).encode())
    assert KEY.encode() not in document and b"other" not in document
    assert replace_keys_with_digests(document) != b"", (
        "replacing the keys twice has no effect"
    )


def test_a_document_that_does_not_decode_is_dropped() -> None:
    """It may contain a key anywhere; the last valid document stays in force."""
    for value in (b'{"tenants": [{"apiKeys": ["' + KEY.encode(), b"\xff", b"[1]"):
        assert replace_keys_with_digests(value) == b""
    assert isinstance(decode_config(b""), InvalidDocument)
    broken = replace_keys_with_digests(json.dumps(CONFIG | {"tenants": KEY}).encode())
    assert KEY.encode() not in broken
    assert isinstance(decode_config(broken), InvalidDocument)


def test_customers_have_their_priority_and_quota() -> None:
    customers = table().customers
    assert customers is not None and not customers.problems
    one = customers.find_by_digest(digest_key(KEY.encode()))
    assert one is not None
    assert (one.name, one.rank, one.quota) == ("one", 1, Quota(191.0, 20.0))
    two = customers.by_name["two"]
    assert (two.rank, two.quota) == (None, None)
    assert decode_config(b'{"version": 1}').customers is None  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("tenant", "problem_name"),
    [
        ({"name": "bad", "apiKeys": ["k"], "ratePerS": -1}, "bad"),
        ({"name": "bad", "apiKeys": ["k", "k"]}, "bad"),
        ({"name": "bad", "apiKeys": [""]}, "bad"),
        ({"name": "bad", "apiKeys": [7]}, "bad"),
        ({"name": "bad", "apiKeys": "k"}, "bad"),
        ({"name": "bad", "colour": "red"}, "bad"),
        ({"name": "", "apiKeys": ["k"]}, ""),
        ({"apiKeys": ["k"]}, "1"),
        ("k", "1"),
        (None, "1"),
    ],
    ids=str,
)
def test_an_invalid_customer_does_not_affect_the_others(
    tenant: object, problem_name: str
) -> None:
    """One tenant of the configuration is invalid; all others are still served."""
    customers = table(tenants=[CONFIG["tenants"][0], tenant]).customers  # type: ignore[index]
    assert customers is not None
    assert customers.find_by_digest(digest_key(KEY.encode())) is not None
    assert [problem.customer for problem in customers.problems] == [problem_name]
