"""Test the choice of a reader when readers are silent or respond again."""

import random

from crocusspindle.core.byte_rate_limiter import BURST_MS, ByteRateLimiter
from crocusspindle.core.reader_choice import SUSPECT_MAX_MS, ReaderChoice
from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host), Incarnation(incarnation + host), "::1", 1, DomainId("a"), "::1:2"
    )


NODES = [node(f"n{number}") for number in range(12)]
BY_HOST = {candidate.host: candidate for candidate in NODES}
OWN = HostId("own")
ROUND_MS = 950.0
"""Time in which a node pings three silent readers and pauses."""


def test_nine_silent_readers_at_the_front_are_skipped():
    """Nine hosts on slow links rank first and never respond in time.

    If a suspicion expires after two seconds, and pinging all nine takes three, no host
    reaches the tenth reader, and every host reads the store itself.
    """
    choice = ReaderChoice(OWN, random.Random(1))
    ranked = choice.candidates(NODES, 0.0)
    now_ms, responses = 0.0, 0
    for _ in range(60):
        now_ms += ROUND_MS
        for reader in choice.candidates(NODES, now_ms)[:3]:
            if reader in ranked[9:]:
                choice.trust(reader, now_ms)
                responses += 1
                break
            choice.suspect(BY_HOST[reader], now_ms)
    assert responses > 40


def test_a_reader_that_responds_again_is_trusted_as_before():
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


def test_a_node_that_is_cut_off_does_not_suspect_the_others():
    """A node is cut off for ten seconds and gets no response from any other node.

    If their silence counted, it would skip the reader that the other nodes use for
    half a minute after that.
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


def test_a_reader_that_has_restarted_is_pinged_at_once():
    """The host that ranks first is killed, is silent, and restarts.

    If its silence before the restart counted, some hosts would ping another reader for
    half a minute, and both readers would read the store.
    """
    choice = ReaderChoice(OWN, random.Random(1))
    first, second = choice.candidates(NODES, 0.0)[:2]
    for now_ms in (0.0, 500.0):
        choice.suspect(BY_HOST[first], now_ms)
        choice.trust(second, now_ms + 1.0)
    assert choice.candidates(NODES, 600.0)[0] == second
    after_restart = [
        node(first, "2"),
        *(candidate for candidate in NODES if candidate.host != first),
    ]
    assert choice.candidates(after_restart, 600.0)[0] == first


def test_lists_are_sent_within_their_fraction_of_the_link():
    """Three hundred hosts request a list of 20 kB from one host at the same time.

    Heartbeats behind a queue of seconds on its link would arrive too late.
    """
    limiter = ByteRateLimiter(bytes_per_ms=312.5)
    sent_ms = [at for at in range(4_000) if limiter.try_consume(20_000, float(at))]
    assert len(sent_ms) * 20_000 <= 312.5 * (4_000 + BURST_MS) + 20_000
    assert len(sent_ms) >= 50
