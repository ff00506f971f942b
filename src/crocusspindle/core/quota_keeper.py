"""Keep customers' buckets at one node, and hand them on without new quota.

Made for hosts that are killed, cut off and restarted at any time. The harm prevented:
two keepers of one customer, who would let it through at twice its rate, and a gap in
which nobody admits it although a keeper was handed over properly.

At most one node admits a customer at any time. A keeper acts only while its proof of
the view is younger than the fence. Its heir opens the bucket when everyone who may
have kept it before has released it, or has been silent for a whole fence since the
heir saw the view that put the former keeper out. A bucket that nobody asked for fills
meanwhile: it opens with what nobody else can have spent.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.duty_history import DutyHistory, Term
from crocusspindle.core.view import Seat, SeatKey, View
from crocusspindle.core.window_bucket import WindowBucket
from crocusspindle.ids import CustomerId, HostId, Incarnation


@dataclass(frozen=True, slots=True)
class Admitted:
    """Tell that a request may be sent after a wait."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class OverRate:
    """Tell that the customer is over its rate, and when a token is there."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class NotKept:
    """Tell that this node does not keep the customer, or not yet."""


SpendAnswer = Admitted | OverRate | NotKept


@dataclass(slots=True)
class _Account:
    """Hold one customer's bucket and what must be cleared before it opens.

    ``tokens`` is what it holds while it is closed. ``cleared`` tells when former
    members released it, ``below_cleared_ms`` when the keeper before this node did.
    """

    bucket: WindowBucket
    tokens: float = 0.0
    opened: bool = False
    heir_since_ms: float = math.nan
    below_cleared_ms: float = math.nan
    barred_to_view: int = -1
    cleared: dict[SeatKey, float] = field(default_factory=dict)

    def close(self) -> None:
        """Stop admitting, and clear anew before the next opening."""
        self.opened = False
        self.below_cleared_ms = math.nan
        self.heir_since_ms = math.nan


class QuotaKeeper:
    """Admit requests of the customers that this node keeps.

    ``began_ms`` is when its process began.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        fence_ms: float,
        window_ms: float,
        began_ms: float = math.inf,
    ) -> None:
        self._window_ms = window_ms
        self._began_ms = began_ms
        self._fence_ms = fence_ms
        self._view: View | None = None
        self._view_proved_at_ms = -math.inf
        self._rules: Mapping[CustomerId, CustomerRule] = {}
        self._accounts: dict[CustomerId, _Account] = {}
        self._fenced_since_ms: dict[SeatKey, float] = {}
        self._history = DutyHistory(host, incarnation)

    def set_rules(self, rules: Mapping[CustomerId, CustomerRule]) -> None:
        """Take a new configuration's limits; a lower burst cuts the bucket."""
        self._rules = rules

    def set_view(self, view: View, proved_at_ms: float, now_ms: float) -> None:
        """Take over a view or a newer proof of the one in force."""
        if self._view is None or view.number > self._view.number:
            if now_ms - self._view_proved_at_ms > self._fence_ms:
                self._forget_standing()
            self._history.take_view(view, now_ms)
            self._view = view
            self._fenced_since_ms = {
                seat.key: self._fenced_since_ms.get(seat.key, now_ms)
                for seat in view.fenced
            }
            self._close_lost(view.number, now_ms)
        if view.number == self._view.number:
            self._view_proved_at_ms = max(self._view_proved_at_ms, proved_at_ms)

    def _forget_standing(self) -> None:
        # The proof ran out and views have changed since: another node may have
        # become keeper after its fence. What is left here must not be spent.
        self._history.forget()
        for account in self._accounts.values():
            account.close()
            account.tokens = 0.0

    def _close_lost(self, view_number: int, now_ms: float) -> None:
        # Another node keeps these now, whether or not it asks for them. A bucket left
        # open would fill up for the time in which the other one spends.
        for customer, account in self._accounts.items():
            account.cleared = {
                key: at_ms
                for key, at_ms in account.cleared.items()
                if key in self._fenced_since_ms
            }
            if account.opened and not self.is_heir(customer):
                self._freeze(account, customer, now_ms)
                account.close()
                account.barred_to_view = max(account.barred_to_view, view_number)

    def over(self, now_ms: float) -> set[SeatKey]:
        """Return the fenced stays whose proofs have run out everywhere."""
        return {
            key
            for key, since_ms in self._fenced_since_ms.items()
            if now_ms - since_ms > self._fence_ms
        }

    def is_heir(self, customer: CustomerId) -> bool:
        """Return True if this node ranks first among the members."""
        rank = self._history.rank(customer)
        return rank is not None and rank.first

    def _account(self, customer: CustomerId) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = _Account(WindowBucket(self._window_ms))
            self._accounts[customer] = account
        return account

    def to_clear(self, customer: CustomerId, now_ms: float) -> list[Seat]:
        """Return the seats whose nodes must release the customer first."""
        account = self._account(customer)
        rank = self._history.rank(customer)
        if (
            self._view is None
            or rank is None
            or account.barred_to_view >= self._view.number
        ):
            return []
        if math.isnan(account.heir_since_ms):
            term = self._history.last_term(customer, account.barred_to_view)
            account.heir_since_ms = now_ms if term is None else term.since_ms
            account.tokens = 0.0
        done = account.cleared.keys() | self.over(now_ms)
        waiting = [seat for seat in rank.put_out if seat.key not in done]
        silent = now_ms - account.heir_since_ms > self._fence_ms
        cleared = silent or not math.isnan(account.below_cleared_ms)
        if rank.former is not None and not cleared:
            waiting.append(rank.former)
        return waiting

    def spend(
        self, customer: CustomerId, wait_limit_ms: float, now_ms: float
    ) -> SpendAnswer:
        """Take one token, if need be one that arrives within the wait limit.

        The load is a customer near its rate, whose requests come in clumps. A
        short wait for the next token serves a request that a refusal would send
        round again; longer than the limit, the refusal comes at once.
        """
        rule = self._rules.get(customer)
        if rule is None or not self._may_act(customer, now_ms):
            return NotKept()
        account = self._accounts[customer]
        if not account.opened:
            self._open(account, customer, rule, now_ms)
            account.opened = True
        missing = 1.0 - account.bucket.tokens(rule, now_ms)
        wait_ms = max(0.0, missing / rule.rate_per_s * 1e3)
        if wait_ms > wait_limit_ms:
            return OverRate(wait_ms)
        account.bucket.take(now_ms)
        return Admitted(wait_ms)

    def _may_act(self, customer: CustomerId, now_ms: float) -> bool:
        if now_ms - self._view_proved_at_ms >= self._fence_ms:
            return False
        if not self.is_heir(customer) or self.to_clear(customer, now_ms):
            return False
        assert self._view is not None
        return self._accounts[customer].barred_to_view < self._view.number

    def _open(
        self, account: _Account, customer: CustomerId, rule: CustomerRule, now_ms: float
    ) -> None:
        term = self._history.last_term(customer, account.barred_to_view)
        if term is None:
            account.bucket.open(account.tokens, rule, now_ms)
            return
        # In the first view of all, nobody can have spent anything.
        unspent = term.views[0].view.number == 1
        tokens = rule.burst if unspent else account.tokens
        since_ms = min(now_ms, self._owned_since_ms(term, customer, account))
        account.bucket.open(tokens, rule, since_ms)

    def _owned_since_ms(
        self, term: Term, customer: CustomerId, account: _Account
    ) -> float:
        """Return since when nobody but this node can have admitted the customer."""
        put_out: dict[SeatKey, float] = {}
        owned_ms = term.since_ms
        if term.succeeds_itself:
            # Its host's former process had ended when this one began.
            owned_ms = min(owned_ms, self._began_ms)
        for seen in term.views:
            rank = self._history.rank_in(seen.view, customer)
            if rank is None:
                continue
            for seat in rank.put_out:
                put_out.setdefault(seat.key, seen.seen_ms + self._fence_ms)
            if rank.former is not None and math.isnan(account.below_cleared_ms):
                owned_ms = max(owned_ms, term.since_ms + self._fence_ms)
        if not math.isnan(account.below_cleared_ms):
            owned_ms = max(owned_ms, account.below_cleared_ms)
        ends = (account.cleared.get(key, ends_ms) for key, ends_ms in put_out.items())
        return max(owned_ms, *ends) if put_out else owned_ms

    def _freeze(self, account: _Account, customer: CustomerId, now_ms: float) -> None:
        rule = self._rules.get(customer)
        left = 0.0 if rule is None else account.bucket.tokens(rule, now_ms)
        account.tokens = max(0.0, left)

    def released(
        self, customer: CustomerId, by: SeatKey, tokens: float, now_ms: float
    ) -> None:
        """Note that a node has released the customer, with what was left."""
        account = self._account(customer)
        if by in self._fenced_since_ms:
            account.cleared[by] = now_ms
        else:
            account.below_cleared_ms = now_ms
        if not account.opened:
            account.tokens = max(account.tokens, tokens)

    def release(self, customer: CustomerId, view_number: int, now_ms: float) -> float:
        """Stop keeping a customer up to a view; return the tokens handed over.

        The heir may know a view that has not come here. It is taken at its word:
        to stop is always safe, and to go on could make two keepers.
        """
        account = self._account(customer)
        if account.opened:
            self._freeze(account, customer, now_ms)
        else:
            self._count_unasked(account, customer, now_ms)
        account.barred_to_view = max(account.barred_to_view, view_number)
        tokens = account.tokens
        account.close()
        account.tokens = 0.0
        return tokens

    def _count_unasked(
        self, account: _Account, customer: CustomerId, now_ms: float
    ) -> None:
        # Nobody asked for the customer while this node kept it, so that its bucket
        # was never opened and is as full as it would be by now.
        rule = self._rules.get(customer)
        term = self._history.last_term(customer, account.barred_to_view)
        if rule is None or term is None:
            return
        if math.isnan(account.heir_since_ms):
            account.tokens = 0.0
        ended_ms = now_ms if term.ended_ms is None else term.ended_ms
        proof_ends_ms = self._view_proved_at_ms + self._fence_ms
        owned_ms = self._owned_since_ms(term, customer, account)
        if now_ms < proof_ends_ms and owned_ms <= ended_ms:
            self._open(account, customer, rule, now_ms)
            account.tokens = account.bucket.tokens(rule, ended_ms)
