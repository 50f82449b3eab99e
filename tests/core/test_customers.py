"""Key lookup, and qualified names of programs and turns."""

from __future__ import annotations

from wisteriastair.core.customers import Customer, Customers, digest_of, scoped

ONE = Customer("one", None, None)
TWO = Customer("two", 0, None)


def test_customer_is_found_only_by_key_digest() -> None:
    customers = Customers([(ONE, [digest_of(b"k1"), digest_of(b"k2")]), (TWO, [])])
    assert customers.holder(digest_of(b"k2")) is ONE
    assert customers.holder(digest_of(b"k3")) is None
    assert customers.holder("k1") is None
    assert customers.holder("") is None


def test_a_key_of_two_customers_is_valid_for_neither() -> None:
    """Two customers are configured with the same key by mistake.

    Requests with the key could run as the wrong customer. The key must be valid for
    neither, their other keys must work, and the problem must name the customer.
    """
    shared, valid = digest_of(b"shared"), digest_of(b"own")
    customers = Customers([(ONE, [shared, valid]), (TWO, [shared])])
    assert customers.holder(shared) is None
    assert customers.holder(valid) is ONE
    assert [problem.customer for problem in customers.problems] == ["two"]


def test_names_of_two_customers_never_collide() -> None:
    assert scoped("a", "p") != scoped("b", "p")
    assert scoped("", "p") == "p"
    assert scoped("a", "") == "", "an empty name stays empty"
