"""Who holds which key, and names that customers choose alike."""

from __future__ import annotations

from wisteriastair.core.customers import Customer, Customers, digest_key, scoped_name

ONE = Customer("one", None, None)
TWO = Customer("two", 0, None)


def test_a_key_finds_its_customer_and_only_by_its_digest() -> None:
    customers = Customers([(ONE, [digest_key(b"k1"), digest_key(b"k2")]), (TWO, [])])
    assert customers.find_by_digest(digest_key(b"k2")) is ONE
    assert customers.find_by_digest(digest_key(b"k3")) is None
    assert customers.find_by_digest("k1") is None
    assert customers.find_by_digest("") is None


def test_a_key_of_two_customers_is_nobodys() -> None:
    """By a slip of the operators two customers hold one key.

    Whichever were taken, requests of the other would run in its name.  So neither is,
    both go on with their other keys, and the log names them.
    """
    shared, own = digest_key(b"shared"), digest_key(b"own")
    customers = Customers([(ONE, [shared, own]), (TWO, [shared])])
    assert customers.find_by_digest(shared) is None
    assert customers.find_by_digest(own) is ONE
    assert [problem.customer for problem in customers.problems] == ["two"]


def test_names_of_two_customers_never_meet() -> None:
    assert scoped_name("a", "p") != scoped_name("b", "p")
    assert scoped_name("", "p") == "p"
    assert scoped_name("a", "") == "", "no turn stays no turn"
