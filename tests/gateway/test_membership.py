"""Push changes to the nodes that ping the reader, and name members in the view."""

import random
from types import SimpleNamespace

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.reader_choice import READER_ROLE, ReaderChoice
from crocusspindle.core.rendezvous import order
from crocusspindle.core.store_version import StoreVersion, absent_row
from crocusspindle.core.view import View
from crocusspindle.gateway.fleet_state import HeldKeys
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.view_keeper import REMOVE_AFTER_MS, SETTLE_MS
from tests.gateway.test_fleet_state import (
    decoded_copy,
    make_fleet_state,
    state_for,
    view_entry,
)


class FakeExchange:
    """Record notifications in place of the exchange."""

    def __init__(self):
        self.messages = []

    def notify(self, to, content):
        self.messages.append(content)


ABSENT_ROW = absent_row(1)


def reader_double(write_view, active_ms, view_row_version=ABSENT_ROW):
    """Return a stand-in of a reader that has been active for a time."""
    return SimpleNamespace(
        active=True,
        is_store_lost=False,
        active_since_ms=now_ms() - active_ms,
        nodes={},
        row_versions={},
        view_row_version=view_row_version,
        era=1,
        write_view=write_view,
    )


def membership_of(node, exchange, fleet_state, platform_reader) -> Membership:
    choice, document_limiter = (
        ReaderChoice(node.host, random.Random(1)),
        ByteRateLimiter(1e6),
    )
    rng = random.Random(1)
    return Membership(
        node, exchange, fleet_state, platform_reader, set, choice, document_limiter, rng
    )


def test_reader_does_not_push_after_delta_that_did_not_apply():
    """Two readers push to each other, and a delta does not apply at one of them.

    If it pushed again for that, the other would push back, without end and at network
    speed: within ten seconds the bytes between failure domains cost seven times the
    value of all requests.
    """
    reader, other, exchange = make_fleet_state(), make_fleet_state(), FakeExchange()
    node, peer = view_entry(0).node, view_entry(1).node
    platform_reader = SimpleNamespace(active=True, is_store_lost=False)
    membership = membership_of(node, exchange, reader, platform_reader)
    membership._add_known_node(peer)
    membership._open_nodes.record_ping(peer.host, True, False, now_ms())
    membership._push()
    assert len(exchange.messages) == 1
    for number in (4, 5):
        other.update_view(
            View(number, tuple(view_entry(n) for n in range(3))), now_ms()
        )
    update = decoded_copy(
        other.state_for(
            HeldKeys(-1, other.targets_digest, 4, other.open_digest, other.crash_digest)
        )
    )
    assert not reader.apply_state(update, now_ms())
    membership._push()
    assert len(exchange.messages) == 1
    assert reader.apply_state(state_for(other, reader), now_ms())
    membership._push()
    assert len(exchange.messages) == 2


async def test_reader_does_not_relay_a_push():
    """Two readers have different lists and push them to each other.

    Each applies the other's list. Relayed as a change, the lists would be swapped
    without end: 280,000 datagrams between failure domains in five seconds.
    """
    reader, other, exchange = make_fleet_state(), make_fleet_state(), FakeExchange()
    platform_reader = SimpleNamespace(active=True, is_store_lost=False)
    membership = membership_of(view_entry(0).node, exchange, reader, platform_reader)
    reader.add_listener(membership._push)
    membership._add_known_node(view_entry(1).node)
    membership._open_nodes.record_ping(view_entry(1).node.host, True, False, now_ms())
    membership._push()
    other.update_open_nodes([("127.0.0.1:81", "a")])
    await membership._state(state_for(other, reader), ("127.0.0.1", 7340))
    assert reader.open_nodes == [("127.0.0.1:81", "a")]
    assert len(exchange.messages) == 1


@pytest.mark.parametrize("fenced_rank", [0, 1, 2])
async def test_removed_host_that_returns_is_added_to_the_view(fenced_rank):
    """A host leaves, and before it returns the whole fleet loses power and restarts.

    The host is no longer a member of the view. If it ranks first among the readers, the
    others must not wait for it to write the view: nodes ping members only, so it would
    never write, and customers of the previous processes would have no quota keeper.
    """
    ranked = order(READER_ROLE, [view_entry(n).node.host for n in range(3)])
    numbers = {view_entry(n).node.host: n for n in range(3)}
    returning = numbers[ranked[fenced_rank]]
    rest = [numbers[host] for host in ranked if numbers[host] != returning]
    written = []

    async def write_view(view, row_version):
        written.append(view)
        return True

    fleet_state = make_fleet_state()
    view = View(9, tuple(view_entry(n) for n in rest), (view_entry(returning),))
    fleet_state.update_view(view, now_ms())
    platform_reader = reader_double(write_view, 2 * SETTLE_MS)
    writer = view_entry(rest[0]).node
    membership = membership_of(writer, FakeExchange(), fleet_state, platform_reader)
    for number in (returning, rest[1]):
        membership._add_known_node(view_entry(number).node)
        membership._open_nodes.record_ping(
            view_entry(number).node.host, True, False, now_ms()
        )
    await membership._view_keeper.renew(membership._pinging_nodes())
    (newest,) = written
    assert {entry.node.host for entry in newest.entries} == set(ranked)


async def test_view_written_while_silent_members_are_probed_is_not_replaced():
    """Guards against two views of one number, of which the store holds the second.

    The writer decides by the view in force, and another node writes the next one while
    the writer waits for the responses of silent members.
    """
    written = []

    async def write_view(view, row_version):
        written.append((view, row_version))
        return False

    fleet_state = make_fleet_state()
    fleet_state.update_view(View(9, tuple(view_entry(n) for n in range(3))), now_ms())
    platform_reader = reader_double(
        write_view, 2 * REMOVE_AFTER_MS, StoreVersion(1, 40)
    )

    class ProbedExchange(FakeExchange):
        async def request(self, to, content, silent_s, limit_s):
            platform_reader.view_row_version = StoreVersion(1, 41)

    numbers = {view_entry(n).node.host: n for n in range(3)}
    first, second, _ = order(READER_ROLE, list(numbers))
    membership = membership_of(
        view_entry(numbers[first]).node, ProbedExchange(), fleet_state, platform_reader
    )
    membership._add_known_node(view_entry(numbers[second]).node)
    membership._open_nodes.record_ping(second, True, False, now_ms())
    await membership._view_keeper.renew(membership._pinging_nodes())
    assert [row_version for _, row_version in written] == [StoreVersion(1, 40)]


async def test_view_of_before_a_restore_is_written_again():
    """Guards against a store that lacks the view, and gives its number out again."""
    written = []

    async def write_view(view, row_version):
        written.append(view)
        return True

    fleet_state = make_fleet_state()
    members = tuple(view_entry(n) for n in range(2))
    lost = View(9, members)
    fleet_state.update_view(lost, now_ms())
    platform_reader = reader_double(write_view, 2 * SETTLE_MS, absent_row(1))
    hosts = order(READER_ROLE, [entry.node.host for entry in members])
    nodes = {entry.node.host: entry.node for entry in members}
    membership = membership_of(
        nodes[hosts[0]], FakeExchange(), fleet_state, platform_reader
    )
    membership._add_known_node(nodes[hosts[1]])
    membership._open_nodes.record_ping(hosts[1], True, False, now_ms())
    await membership._view_keeper.renew(membership._pinging_nodes())
    (view,) = written
    assert view.entries == members and view.number > lost.number
