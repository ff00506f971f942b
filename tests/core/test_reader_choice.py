"""Choose whom to ask, with readers that stay silent or come back."""

import random

from crocusspindle.core.byte_pace import BURST_MS, BytePace
from crocusspindle.core.reader_choice import SUSPECT_MAX_MS, SUSPECT_MS, ReaderChoice
from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host), Incarnation(incarnation + host), "::1", 1, DomainId("a"), "::1:2"
    )


NODES = [node(f"n{number}") for number in range(12)]
BY_HOST = {one.host: one for one in NODES}
ROUND_MS = 950.0
"""What a node takes to ask three readers that are silent, and to rest."""


def test_nine_silent_readers_at_the_front_are_got_past():
    """Nine hosts on narrow links rank first and answer nobody in time.

    A silence was forgotten after two seconds, and to ask all nine took three: nobody
    ever came to the tenth, and every host read the store for itself.
    """
    choice = ReaderChoice(random.Random(1))
    ranked = choice.candidates(NODES, 0.0)
    now_ms, met = 0.0, 0
    for _ in range(60):
        now_ms += ROUND_MS
        for reader in choice.candidates(NODES, now_ms)[:3]:
            if reader in ranked[9:]:
                met += 1
                break
            choice.suspect(BY_HOST[reader], now_ms)
    assert met > 40


def test_a_reader_that_answers_again_is_trusted_as_before():
    choice = ReaderChoice(random.Random(1))
    first = choice.candidates(NODES, 0.0)[0]
    now_ms = 0.0
    for _ in range(8):
        choice.suspect(BY_HOST[first], now_ms)
        now_ms += 2 * SUSPECT_MAX_MS
    choice.trust(first)
    choice.suspect(BY_HOST[first], now_ms)
    assert choice.candidates(NODES, now_ms + 1.5 * SUSPECT_MS)[0] == first


def test_a_reader_that_was_started_anew_is_asked_at_once():
    """The host that ranks first is killed, is silent, and starts again.

    If its former silence counted, part of the fleet would ask another reader for half
    a minute, and both would read the store.
    """
    choice = ReaderChoice(random.Random(1))
    first = choice.candidates(NODES, 0.0)[0]
    choice.suspect(BY_HOST[first], 0.0)
    assert choice.candidates(NODES, 100.0)[0] != first
    anew = [node(first, "2"), *(one for one in NODES if one.host != first)]
    assert choice.candidates(anew, 100.0)[0] == first


def test_lists_leave_no_faster_than_their_part_of_the_link():
    """Three hundred hosts ask one for a list of 20 kB at the same moment."""
    pace = BytePace(bytes_per_ms=312.5)
    given = [at for at in range(4_000) if pace.take(20_000, float(at))]
    assert len(given) * 20_000 <= 312.5 * (4_000 + BURST_MS) + 20_000
    assert len(given) >= 50
