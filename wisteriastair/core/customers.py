"""Customers: their API keys, urgency and quotas.

Only the digest of a key is stored, so that no log, message or file can leak the key.
The customer is found by one dictionary lookup. It takes the same time for ten and for
ten thousand customers, and for an unknown key.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256
from typing import NamedTuple


class Quota(NamedTuple):
    """Request rate of a customer over all relays together.

    Attributes
    ----------
    rate_per_s : float
        Sustained requests per second.
    burst : float
        Additional requests that may arrive at once.
    """

    rate_per_s: float
    burst: float


class Customer(NamedTuple):
    """A customer in the configuration.

    Attributes
    ----------
    rank : int or None
        Urgency of its requests, 0 first; None for the urgency of the route.
    quota : Quota or None
        None for no limit.
    """

    name: str
    rank: int | None
    quota: Quota | None


class CustomerProblem(NamedTuple):
    """An invalid part of a customer's configuration."""

    customer: str
    field: str
    reason: str


class Customers:
    """The customers of one version of the configuration.

    Parameters
    ----------
    holders : iterable of tuple
        Customers and the digests of their keys.

    Attributes
    ----------
    by_name : dict of str to Customer
        All customers.
    problems : tuple of CustomerProblem
        Invalid parts of the configuration, for the log.
    """

    def __init__(
        self,
        holders: Iterable[tuple[Customer, list[str]]] = (),
        problems: Iterable[CustomerProblem] = (),
    ) -> None:
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}
        all_problems = list(problems)
        shared_digests: set[str] = set()
        for customer, digests in holders:
            self.by_name[customer.name] = customer
            for digest in digests:
                owner = self._by_digest.setdefault(digest, customer)
                if owner.name != customer.name:
                    # Requests with a key of two customers could run as the wrong
                    # customer, so the key is valid for neither.
                    shared_digests.add(digest)
                    reason = f"a key also belongs to {owner.name}"
                    all_problems.append(CustomerProblem(customer.name, "keys", reason))
        for digest in shared_digests:
            del self._by_digest[digest]
        self.problems = tuple(all_problems)

    def find_by_digest(self, digest: str) -> Customer | None:
        """Return the customer with this key digest, or None."""
        return self._by_digest.get(digest)


def digest_key(key: bytes) -> str:
    """Return the digest of a key. Keys are random, so no salt is needed."""
    return sha256(key).hexdigest()


def scoped_name(customer: str, name: str) -> str:
    """Return the name of a program or turn, qualified by its customer.

    Callers choose these names. Two customers with the same name must not share an
    account, and neither may continue a turn of the other. Header values contain no line
    feed, so qualified names are equal only if both parts are equal.
    """
    return f"{customer}\n{name}" if customer and name else name
