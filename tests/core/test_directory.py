import random

import pytest

from crocusspindle.core import directory_dump
from crocusspindle.core.directory import Directory, Put, Remove, key_digest
from crocusspindle.core.model import (
    Approval,
    Customer,
    CustomerKey,
    KeyState,
    Route,
    Service,
)
from crocusspindle.errors import TicketError
from crocusspindle.ids import CustomerId, ServiceId

KATALOG = Service(ServiceId("katalog"))
CLUB = Customer(CustomerId("club"), 1.5, 3, 2.0)


def key_of(customer: Customer, key: str, state=KeyState.ACTIVE) -> CustomerKey:
    return CustomerKey(key_digest(key), customer.customer, state)


def filled(count: int) -> Directory:
    directory = Directory()
    directory.put_service(KATALOG)
    for number in range(count):
        customer = Customer(CustomerId(f"club-{number}"), number + 0.1, number, 1.1)
        directory.put_customer(customer)
        directory.put_key(key_of(customer, f"key-{number}"))
        if number % 2:
            approval = Approval(KATALOG.service, customer.customer, "owner")
            directory.put_approval(approval)
    return directory


def test_finds_what_was_put():
    directory = filled(3_000)
    for number in (0, 1, 2_999):
        name = CustomerId(f"club-{number}")
        assert directory.authenticate(f"key-{number}") == name
        assert directory.customer(name) == Customer(name, number + 0.1, number, 1.1)
        assert directory.approved(KATALOG.service, name) == bool(number % 2)
    assert directory.authenticate("key-3000") is None
    assert directory.authenticate("\udcff") is None
    assert directory.customer(CustomerId("")) is None
    assert len(list(directory.customers())) == 3_000


def test_agrees_with_plain_maps_through_random_changes():
    directory = Directory()
    directory.put_service(KATALOG)
    rng = random.Random(7)
    customers, keys, approved = {}, {}, set()
    for _ in range(6_000):
        name = CustomerId("x" * rng.randrange(1, 200) + str(rng.randrange(40)))
        key = f"key-{rng.randrange(60)}"
        action = rng.randrange(5)
        if action == 0 or name not in customers:
            customers[name] = Customer(name, rng.random(), rng.randrange(9))
            directory.put_customer(customers[name])
        elif action == 1:
            directory.remove_customer(name)
            del customers[name]
            keys = {each: owner for each, owner in keys.items() if owner[0] != name}
            approved.discard(name)
        elif action == 2:
            state = rng.choice(list(KeyState))
            directory.put_key(key_of(customers[name], key, state))
            keys[key] = (name, state)
        elif action == 3:
            directory.put_approval(Approval(KATALOG.service, name, "owner"))
            approved.add(name)
        else:
            directory.remove_key(key_digest(key))
            keys.pop(key, None)
            directory.remove_approval(KATALOG.service, name)
            approved.discard(name)
    assert {each.customer: each for each in directory.customers()} == customers
    for number in range(60):
        owner, state = keys.get(f"key-{number}", (None, None))
        active = owner if state is KeyState.ACTIVE else None
        assert directory.authenticate(f"key-{number}") == active
    for name in customers:
        assert directory.approved(KATALOG.service, name) == (name in approved)
    assert directory.counts()["keys"] == len(keys)


def test_keys_of_a_removed_customer_do_not_authenticate():
    # A new customer gets the row of a removed one. A key that still pointed to that
    # row would let the removed caller act, and be billed, as the new customer.
    directory = Directory()
    directory.put_customer(CLUB)
    directory.put_key(key_of(CLUB, "old"))
    directory.put_key(key_of(CLUB, "withdrawn", KeyState.WITHDRAWN))
    directory.remove_customer(CLUB.customer)
    directory.put_customer(Customer(CustomerId("new"), 1.0, 2))
    assert directory.authenticate("old") is None
    assert directory.counts()["keys"] == 0


def test_a_withdrawn_key_is_known_but_does_not_authenticate():
    directory = Directory()
    directory.put_customer(CLUB)
    withdrawn = key_of(CLUB, "leaked", KeyState.WITHDRAWN)
    directory.put_key(key_of(CLUB, "leaked"))
    directory.put_key(withdrawn)
    assert directory.authenticate("leaked") is None
    assert directory.key(withdrawn.digest) == withdrawn


def test_a_ticket_with_one_invalid_change_changes_nothing():
    # The last change of a ticket refers to an unknown customer. If the earlier changes
    # stayed applied, nodes would hold different states.
    directory = Directory()
    stray = Customer(CustomerId("stray"), 1.0, 1)
    changes = [Put(CLUB), Put(key_of(CLUB, "a")), Put(key_of(stray, "b"))]
    with pytest.raises(TicketError, match="stray"):
        directory.apply(changes)
    assert directory.counts()["customers"] == 0
    directory.apply([Put(stray), *changes, Remove(CLUB)])
    assert directory.authenticate("a") is None
    assert directory.authenticate("b") == "stray"


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/", "/"),
        ("/katalog", "/katalog"),
        ("/katalog/", "/katalog"),
        ("/katalog2", "/"),
        ("/katalog/bowls/7", "/katalog/bowls"),
        ("/katalog/bowls7", "/katalog"),
        ("/katalog/bowls/" + "/" * 10_000, "/katalog/bowls"),
    ],
)
def test_the_longest_prefix_of_whole_segments_matches(path, prefix):
    directory = Directory()
    directory.put_service(KATALOG)
    for each in ("/", "/katalog", "/katalog/bowls"):
        directory.put_route(Route(each, KATALOG.service))
    found = directory.route(path)
    assert found is not None
    assert found.prefix == prefix
    directory.remove_service(KATALOG.service)
    assert directory.route(path) is None


def test_a_dump_loads_to_the_same_directory():
    directory = filled(500)
    directory.put_route(Route("/katalog", KATALOG.service, frozenset({"GET"})))
    directory.remove_customer(CustomerId("club-7"))
    loaded = directory_dump.load(directory_dump.dump(directory))
    assert list(loaded.customers()) == list(directory.customers())
    assert loaded.counts() == directory.counts()
    assert loaded.approved(KATALOG.service, CustomerId("club-9"))
    assert loaded.route("/katalog") == directory.route("/katalog")
    assert loaded.authenticate("key-7") is None
    loaded.put_customer(CLUB)
    assert loaded.customer(CLUB.customer) == CLUB


def test_a_damaged_dump_is_refused():
    # A snapshot is truncated or a bit of it flips in transit. If it were loaded, keys
    # would be missing or belong to the wrong customer.
    content = directory_dump.dump(filled(50))
    for at in range(0, len(content), len(content) // 97):
        flipped = bytearray(content)
        flipped[at] ^= 1
        for damaged in (content[:at], bytes(flipped)):
            with pytest.raises(directory_dump.DumpError):
                directory_dump.load(damaged)
