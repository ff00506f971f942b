"""Choose whom to ask, with readers that stay silent or come back."""

import random

from crocusspindle.core.byte_pace import BURST_MS, BytePace
from crocusspindle.core.reader_choice import SUSPECT_MAX_MS, ReaderChoice
from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host), Incarnation(incarnation + host), "::1", 1, DomainId("a"), "::1:2"
    )


NODES = [node(f"n{number}") for number in range(12)]
BY_HOST = {one.host: one for one in NODES}
OWN = HostId("own")
ROUND_MS = 950.0
"""What a node takes to ask three readers that are silent, and to rest."""


def test_nine_silent_readers_at_the_front_are_got_past():
    """Nine hosts on narrow links rank first and answer nobody in time.

    A silence was forgotten after two seconds, and to ask all nine took three: nobody
    ever came to the tenth, and every host read the store for itself.
    """
    choice = ReaderChoice(OWN, random.Random(1))
    ranked = choice.candidates(NODES, 0.0)
    now_ms, met = 0.0, 0
    for _ in range(60):
        now_ms += ROUND_MS
        for reader in choice.candidates(NODES, now_ms)[:3]:
            if reader in ranked[9:]:
                choice.trust(reader, now_ms)
                met += 1
                break
            choice.suspect(BY_HOST[reader], now_ms)
    assert met > 40


def test_a_reader_that_answers_again_is_trusted_as_before():
    choice = ReaderChoice(OWN, random.Random(1))
    first = choice.candidates(NODES, 0.0)[0]
    now_ms = 0.0
    second = choice.candidates(NODES, 0.0)[1]
    for _ in range(8):
        choice.suspect(BY_HOST[first], now_ms)
        choice.trust(second, now_ms + 1.0)
        now_ms += 2 * SUSPECT_MAX_MS
    choice.trust(first, now_ms)
    choice.suspect(BY_HOST[first], now_ms)
    choice.trust(second, now_ms + 1.0)
    assert choice.candidates(NODES, now_ms + 2.0)[0] == first


def test_who_hears_nobody_does_not_hold_it_against_them():
    """A node is cut off for ten seconds, and all others are silent to it.

    It would pass over the reader that all others ask for half a minute after that.
    """
    choice = ReaderChoice(OWN, random.Random(1))
    now_ms = 0.0
    while now_ms < 10_000.0:
        for reader in choice.candidates(NODES, now_ms):
            choice.suspect(BY_HOST[reader], now_ms)
        now_ms += ROUND_MS
    back = NODES[-1].host
    choice.trust(back, now_ms)
    assert len(choice.candidates(NODES, now_ms + 1.0)) == len(NODES)


def test_a_reader_that_was_started_anew_is_asked_at_once():
    """The host that ranks first is killed, is silent, and starts again.

    If its former silence counted, part of the fleet would ask another reader for half
    a minute, and both would read the store.
    """
    choice = ReaderChoice(OWN, random.Random(1))
    first, second = choice.candidates(NODES, 0.0)[:2]
    for now_ms in (0.0, 500.0):
        choice.suspect(BY_HOST[first], now_ms)
        choice.trust(second, now_ms + 1.0)
    assert choice.candidates(NODES, 600.0)[0] == second
    anew = [node(first, "2"), *(one for one in NODES if one.host != first)]
    assert choice.candidates(anew, 600.0)[0] == first


def test_lists_leave_no_faster_than_their_part_of_the_link():
    """Three hundred hosts ask one for a list of 20 kB at the same moment."""
    pace = BytePace(bytes_per_ms=312.5)
    given = [at for at in range(4_000) if pace.take(20_000, float(at))]
    assert len(given) * 20_000 <= 312.5 * (4_000 + BURST_MS) + 20_000
    assert len(given) >= 50
