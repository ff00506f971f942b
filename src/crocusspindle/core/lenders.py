"""Estimate the tokens of a customer's other holders and choose whom to borrow from.

A holder that lacks tokens borrows them from another one. If no other has enough, it
collects fractions of a token from several in its own bucket. For a node without a share
a holder gathers the token: it borrows from the others what it lacks, then lends it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.bucket import LoanPool
from crocusspindle.core.loans import Borrow
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import MemberId

INITIAL_BACKOFF_MS: Final = 500.0
"""Backoff after a lender did not reply; doubled each time.

Without it every request of the customer would wait for the timeout of a loan request
to a failed holder.
"""

MAX_BACKOFF_MS: Final = 4_000.0
"""Maximum backoff of a lender that does not reply: about one lease."""

QUOTE_TTL_MS: Final = 100.0
"""How long a lender's quote is valid while fractions are collected.

Longer than seven consecutive loan requests between failure domains take, so that
collecting terminates.
"""

COLLECT_PERIOD_MS: Final = 10.0
"""How long the first holder keeps its fractions after each loan request.

Two requests at two holders may each lack a fraction: each holder would lend the other
what that one lacks, and both would keep requesting until a token is refilled, up to
two seconds at 1/s. Only the first holder in order keeps its own, so one request
completes.
"""

MIN_REFUSAL_BACKOFF_MS: Final = 15.0
"""Minimum backoff after a lender refused a loan.

Otherwise the requests of a burst that drains all shares at once would circulate among
the holders for as long as tokens are refilled. The time suffices for one request to
every holder.
"""

DECAY_MARGIN_MS: Final = 20.0
"""A loan request also covers the decay of tokens already borrowed, over this time.

Otherwise each late loan would leave a little lacking, and a request would borrow
without end.
"""


@dataclass(frozen=True, slots=True)
class OtherHolders:
    """Hold the other holders of a customer, and cap and refill of each share."""

    holders: Sequence[MemberId]
    cap: float
    rate_per_ms: float


@dataclass(slots=True)
class LenderState:
    """Hold a lender's latest quote, when it was received, and the backoff."""

    quoted: float
    estimated_at_ms: float
    quoted_at_ms: float = -math.inf
    refused_until_ms: float = -math.inf
    backoff_ms: float = 0.0

    def estimate(self, other_holders: OtherHolders, now_ms: float) -> float:
        """Return how many tokens the lender may have by now."""
        if self.backoff_ms and now_ms < self.refused_until_ms:
            return 0.0
        refilled = max(0.0, now_ms - self.estimated_at_ms) * other_holders.rate_per_ms
        return min(other_holders.cap, self.quoted + refilled)


class Lenders:
    """Track the other holders of one customer.

    ``loan_pool`` holds what a node without a share has borrowed and not yet spent.
    Before ``top_up_at_ms`` this member borrows no idle tokens to balance the shares.
    Until ``collects_until_ms`` it collects, and keeps its fractions if it is the first
    of the holders.
    """

    __slots__ = ("_lender_states", "collects_until_ms", "loan_pool", "top_up_at_ms")

    def __init__(self) -> None:
        self._lender_states: dict[MemberId, LenderState] = {}
        self.loan_pool = LoanPool()
        self.top_up_at_ms = -math.inf
        self.collects_until_ms = -math.inf

    def record_reply(
        self, lender: MemberId, available: float, refused_ms: float, now_ms: float
    ) -> None:
        """Record a reply; ``refused_ms`` is how long the lender expects no token."""
        if refused_ms > 0.0:
            refused_ms = max(refused_ms, MIN_REFUSAL_BACKOFF_MS)
        self._lender_states[lender] = LenderState(
            available, now_ms, now_ms, now_ms + refused_ms
        )

    def record_no_reply(self, lender: MemberId, now_ms: float) -> None:
        """Record a loan request without a reply."""
        state = self._lender_states.setdefault(lender, LenderState(0.0, now_ms))
        state.backoff_ms = min(
            MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, 2 * state.backoff_ms)
        )
        state.refused_until_ms = now_ms + state.backoff_ms
        state.quoted = 0.0
        state.estimated_at_ms = state.quoted_at_ms = now_ms

    def estimates(
        self, other_holders: OtherHolders, now_ms: float
    ) -> dict[MemberId, float]:
        """Return the estimated tokens of each holder; full before any request."""
        return {
            holder: self._lender_states[holder].estimate(other_holders, now_ms)
            if holder in self._lender_states
            else other_holders.cap
            for holder in other_holders.holders
        }

    def deduct_request(
        self,
        lender: MemberId,
        amount: float,
        other_holders: OtherHolders,
        now_ms: float,
    ) -> None:
        """Deduct a requested amount from the estimate until the reply is received.

        Otherwise all requests of a burst at one entry would borrow from the same
        holder, which would soon have to gather for each of them.
        """
        state = self._lender_states.get(lender)
        if state is None:
            state = self._lender_states[lender] = LenderState(
                other_holders.cap, -math.inf
            )
        state.quoted = max(0.0, state.estimate(other_holders, now_ms) - amount)
        state.estimated_at_ms = now_ms

    def has_requested_all(self, other_holders: OtherHolders) -> bool:
        """Return True if every other holder was sent a loan request at least once."""
        return all(holder in self._lender_states for holder in other_holders.holders)

    def _stale_quotes(
        self, holders: Sequence[MemberId], now_ms: float
    ) -> list[MemberId]:
        return [
            holder
            for holder in holders
            if holder not in self._lender_states
            or now_ms - self._lender_states[holder].quoted_at_ms > QUOTE_TTL_MS
        ]

    def choose_for_holder(
        self, other_holders: OtherHolders, missing: float, extra: float, now_ms: float
    ) -> Borrow | None:
        """Choose a lender for a holder; return None if all together have too little.

        Near its rate, the shares of a customer of 1/s and burst 2 hold fractions most
        of the time. They are collected in a holder's own bucket, where none is lost,
        and only once the quotes of all lenders are valid. Until then each loan
        request is for all that is needed, so that no fraction is moved for nothing.
        """
        estimates = self.estimates(other_holders, now_ms)
        self.collects_until_ms = -math.inf
        if not estimates or sum(estimates.values()) < missing:
            return None
        self.collects_until_ms = now_ms + COLLECT_PERIOD_MS
        ranked = sorted(estimates, key=lambda holder: -estimates[holder])
        if estimates[ranked[0]] >= missing:
            # A lender without a whole token refuses a request for more than one.
            amount = missing + extra if estimates[ranked[0]] >= 1.0 + extra else missing
            self.deduct_request(ranked[0], amount, other_holders, now_ms)
            return Borrow(tuple(ranked), amount)
        stale = self._stale_quotes(ranked, now_ms)
        if stale:
            return Borrow(tuple(stale), missing)
        self.deduct_request(ranked[0], estimates[ranked[0]], other_holders, now_ms)
        return Borrow(tuple(ranked), estimates[ranked[0]])

    def choose_for_non_holder(
        self,
        own_member: MemberId,
        other_holders: OtherHolders,
        missing: float,
        now_ms: float,
    ) -> Borrow | float:
        """Choose a lender for a node without a share, or return when to retry.

        Callers may use any entry. Such a node requests a whole token from one holder,
        which gathers it if necessary; fractions would decay here. A holder that refused
        gets no request before it can have a token, so that refusing a customer far over
        its rate costs no message.
        """
        candidates = {
            holder: estimate
            for holder, estimate in self.estimates(other_holders, now_ms).items()
            if holder not in self._lender_states
            or now_ms >= self._lender_states[holder].refused_until_ms
        }
        if not candidates:
            retry_times_ms = [
                self._lender_states[each].refused_until_ms
                for each in other_holders.holders
            ]
            return min(retry_times_ms, default=now_ms)
        ranked = sorted(
            candidates,
            key=lambda holder: (
                -candidates[holder],
                score(own_member.encode(), holder),
            ),
        )
        missing += self.loan_pool.max_decay(DECAY_MARGIN_MS)
        self.deduct_request(ranked[0], missing, other_holders, now_ms)
        return Borrow(tuple(ranked), missing, gather=True)
