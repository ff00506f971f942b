"""Tests of the shares of a limited target's rate that placers use."""

import itertools

import pytest

from crocusspindle.core.placer_contacts import (
    CONTACT_INTERVAL_MS,
    CONTACT_MS,
    PLACING_MS,
    PlacerContacts,
)
from crocusspindle.ids import HostId

HOSTS = [HostId(name) for name in ("g0", "g1", "g2")]
PAIRS = list(itertools.combinations(HOSTS, 2))
NOW_MS = 1_000.0


def share(host, heard):
    """Return the share of a host that places and has just heard some others."""
    contacts = PlacerContacts()
    contacts.record_request(NOW_MS)
    for other in heard:
        contacts.record_response(other, NOW_MS)
    return contacts.rate_share(host, HOSTS, NOW_MS)


@pytest.mark.parametrize(
    "links",
    [links for count in range(4) for links in itertools.combinations(PAIRS, count)],
)
def test_shares_of_placers_that_do_not_hear_each_other_fit_the_rate(links):
    """Guards against placers that each use a target's whole rate."""
    shares = {
        host: share(host, {other for link in links if host in link for other in link})
        for host in HOSTS
    }
    apart = [
        group
        for count in range(1, 4)
        for group in itertools.combinations(HOSTS, count)
        if not any(pair in links for pair in itertools.combinations(group, 2))
    ]
    assert max(sum(shares[host] for host in group) for group in apart) <= 1.0
    if len(links) == len(PAIRS):
        assert set(shares.values()) == {1.0}


def test_a_placer_that_does_not_respond_any_more_counts_as_placing():
    """Guards against a placer that takes silence of another for its absence."""
    contacts = PlacerContacts()
    contacts.record_request(NOW_MS)
    contacts.record_response(HOSTS[1], NOW_MS)
    assert contacts.rate_share(HOSTS[0], HOSTS[:2], NOW_MS + CONTACT_MS) == 1.0
    assert contacts.rate_share(HOSTS[0], HOSTS[:2], NOW_MS + CONTACT_MS + 1.0) == 0.5


def test_contacts_of_before_a_host_began_to_place_do_not_count():
    """Guards against a successor that trusts what it heard before a cut."""
    contacts = PlacerContacts()
    contacts.record_response(HOSTS[1], NOW_MS - 100.0)
    assert contacts.record_request(NOW_MS)
    contacts.record_response(HOSTS[1], NOW_MS - 50.0)
    assert contacts.rate_share(HOSTS[0], HOSTS[:2], NOW_MS) == 0.5
    assert not contacts.record_request(NOW_MS + PLACING_MS - 1.0)
    assert contacts.record_request(NOW_MS + 2.0 * PLACING_MS)


def test_a_host_that_is_not_among_the_placers_gets_no_share():
    """Guards against hosts that hold an old view and place beside the placers."""
    assert share(HOSTS[0], HOSTS[1:]) == 1.0
    contacts = PlacerContacts()
    contacts.record_request(NOW_MS)
    assert contacts.rate_share(HostId("g3"), HOSTS, NOW_MS) == 0.0


def test_the_others_are_contacted_only_while_a_host_places():
    contacts = PlacerContacts()
    assert not contacts.contact_if_due(NOW_MS)
    contacts.record_request(NOW_MS)
    assert contacts.contact_if_due(NOW_MS)
    assert not contacts.contact_if_due(NOW_MS + CONTACT_INTERVAL_MS - 1.0)
    assert contacts.contact_if_due(NOW_MS + CONTACT_INTERVAL_MS)
    assert not contacts.contact_if_due(NOW_MS + PLACING_MS)
