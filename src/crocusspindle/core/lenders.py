"""Remember what the other holders of one customer have, and choose whom to ask."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.bucket import LoanPot
from crocusspindle.core.loans import Borrow
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import MemberId

FIRST_SILENCE_MS: Final = 500.0
"""How long a lender that did not answer is left alone; doubled each time.

Made for a holder lost under load: without it each request of the customer would
wait out the time limit of a question to a dead node.
"""

MAX_SILENCE_MS: Final = 4_000.0
"""Longest time for which a silent lender is left alone: about one lease."""

QUOTE_MS: Final = 100.0
"""What a lender said counts for so long when fractions are collected.

Longer than asking seven others one after the other takes between failure domains,
so that collecting comes to an end.
"""

COLLECT_MS: Final = 10.0
"""The first holder keeps its fractions for so long after each question.

Made for two requests at two holders that each miss a little: each would lend the
other what that one misses, and both would go on asking until a token is refilled,
up to two seconds at 1/s. Only the first in order keeps, so that one gets done.
"""

MIN_REFUSED_MS: Final = 15.0
"""A lender that refused is left alone at least so long.

Made for a burst that drains all shares at once: its requests would else go round
among the holders for as long as tokens trickle in. The time allows for asking
every holder once.
"""

MARGIN_MS: Final = 20.0
"""Time for which the decay of tokens already here is asked for on top.

Made for loans that come late: what is missing would else be a little more after
each answer, and a request would chase it for ever.
"""


@dataclass(frozen=True, slots=True)
class Peers:
    """Name the other holders of a customer, and the share of each."""

    holders: Sequence[MemberId]
    cap: float
    rate_per_ms: float


@dataclass(slots=True)
class LenderNote:
    """Remember what a lender had left, when it said so, and whether it was silent."""

    quoted: float
    at_ms: float
    said_ms: float = -math.inf
    refused_until_ms: float = -math.inf
    silence_ms: float = 0.0

    def estimate(self, peers: Peers, now_ms: float) -> float:
        """Return what the lender may have by now."""
        if self.silence_ms and now_ms < self.refused_until_ms:
            return 0.0
        refilled = max(0.0, now_ms - self.at_ms) * peers.rate_per_ms
        return min(peers.cap, self.quoted + refilled)


class Lenders:
    """Hold notes about the other holders of one customer.

    ``pot`` holds what a node without a share has borrowed and not yet spent.
    """

    __slots__ = ("_notes", "collects_until_ms", "pot", "top_up_at_ms")

    def __init__(self) -> None:
        self._notes: dict[MemberId, LenderNote] = {}
        self.pot = LoanPot()
        self.top_up_at_ms = -math.inf
        self.collects_until_ms = -math.inf

    def answered(
        self, lender: MemberId, available: float, refused_ms: float, now_ms: float
    ) -> None:
        """Note an answer; ``refused_ms`` says how long it has nothing."""
        if refused_ms > 0.0:
            refused_ms = max(refused_ms, MIN_REFUSED_MS)
        self._notes[lender] = LenderNote(available, now_ms, now_ms, now_ms + refused_ms)

    def silent(self, lender: MemberId, now_ms: float) -> None:
        """Note a question without an answer."""
        note = self._notes.setdefault(lender, LenderNote(0.0, now_ms))
        note.silence_ms = min(
            MAX_SILENCE_MS, max(FIRST_SILENCE_MS, 2 * note.silence_ms)
        )
        note.refused_until_ms = now_ms + note.silence_ms
        note.quoted = 0.0
        note.at_ms = note.said_ms = now_ms

    def estimates(self, peers: Peers, now_ms: float) -> dict[MemberId, float]:
        """Return what each other holder may have; full if it was never asked."""
        return {
            holder: self._notes[holder].estimate(peers, now_ms)
            if holder in self._notes
            else peers.cap
            for holder in peers.holders
        }

    def asked(
        self, lender: MemberId, amount: float, peers: Peers, now_ms: float
    ) -> None:
        """Count what is being asked for as gone, until the answer says more.

        Made for a burst at one entry: all its requests would else ask the same
        holder, which soon has to gather for each of them.
        """
        note = self._notes.get(lender)
        if note is None:
            note = self._notes[lender] = LenderNote(peers.cap, -math.inf)
        note.quoted = max(0.0, note.estimate(peers, now_ms) - amount)
        note.at_ms = now_ms

    def knows_all(self, peers: Peers) -> bool:
        """Return True if every other holder has said once what it has."""
        return all(holder in self._notes for holder in peers.holders)

    def _stale(self, holders: Sequence[MemberId], now_ms: float) -> list[MemberId]:
        return [
            holder
            for holder in holders
            if holder not in self._notes
            or now_ms - self._notes[holder].said_ms > QUOTE_MS
        ]

    def for_holder(
        self, peers: Peers, need: float, extra: float, now_ms: float
    ) -> Borrow | None:
        """Choose whom a holder asks, or no one if all together have too little.

        Made for a customer of 1/s and burst 2 near its rate: its shares hold
        fractions most of the time. They are collected in a holder's own bucket,
        where none is lost, and only once every lender has just said what it has.
        Until then each is asked for the whole, which moves nothing in vain.
        """
        has = self.estimates(peers, now_ms)
        self.collects_until_ms = -math.inf
        if not has or sum(has.values()) < need:
            return None
        self.collects_until_ms = now_ms + COLLECT_MS
        ranked = sorted(has, key=lambda holder: -has[holder])
        if has[ranked[0]] >= need:
            # A question for more than a whole token is refused by whoever has none.
            amount = need + extra if has[ranked[0]] >= 1.0 + extra else need
            self.asked(ranked[0], amount, peers, now_ms)
            return Borrow(tuple(ranked), amount)
        stale = self._stale(ranked, now_ms)
        if stale:
            return Borrow(tuple(stale), need)
        self.asked(ranked[0], has[ranked[0]], peers, now_ms)
        return Borrow(tuple(ranked), has[ranked[0]])

    def for_outsider(
        self, me: MemberId, peers: Peers, need: float, now_ms: float
    ) -> Borrow | float:
        """Choose whom a node without a share asks, or return when to come back.

        Made for callers that come to any entry: it asks one holder for a whole
        token, which that one gathers if it has to. Fractions never lie here, where
        they would die away. Made too for a customer far over its rate: a holder
        that refused is not asked again before a token can be there, so refusals
        cost no message.
        """
        may = {
            holder: estimate
            for holder, estimate in self.estimates(peers, now_ms).items()
            if holder not in self._notes
            or now_ms >= self._notes[holder].refused_until_ms
        }
        if not may:
            known = [self._notes[each].refused_until_ms for each in peers.holders]
            return min(known, default=now_ms)
        ranked = sorted(
            may, key=lambda holder: (-may[holder], score(me.encode(), holder))
        )
        need += self.pot.margin(MARGIN_MS)
        self.asked(ranked[0], need, peers, now_ms)
        return Borrow(tuple(ranked), need, gather=True)
