"""Keep each customer's token bucket at one node, and hand over no more than is left.

Hosts may be killed, partitioned and restarted at any time. Two keepers of one customer
would admit it at twice its rate; a gap between two keepers would cause refusals even
when the bucket is handed over in an orderly way.

At most one node admits a customer at any time. A keeper acts only while its freshness
confirmation of the view is younger than the fence, a length of time (``fence_ms``). Its
successor opens the bucket once each node that may have kept it has released it, or has
not responded for the length of the fence. For a removed member that time begins when
the successor receives the view that removed it; for the previous keeper that is still a
member (``previous_holder`` of the role), when it receives the view that gives it the
role. A bucket without requests fills meanwhile: it opens with the tokens that no other
node can have spent.

A view also lists its fenced entries: removed members that may still act on an older
view.

Tokens are numbered. A node whose request certainly did not run returns its token, which
goes to the next waiting request. Each number is taken back once, while the bucket is
open from which it was spent. After a release, a reassignment or a restart no node knows
it, so a return that is late, doubled or meant for another process changes nothing.
"""

import hashlib
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.assignment_history import AssignmentHistory, Tenure
from crocusspindle.core.configuration import LOWEST_PRIORITY, CustomerRule
from crocusspindle.core.retry_times import RetryTimes
from crocusspindle.core.spend_result import (
    Admitted,
    NotKept,
    OverRate,
    SpendResult,
)
from crocusspindle.core.token_queue import TokenQueue, WaitingSpend
from crocusspindle.core.view import View, ViewEntry, ViewEntryKey
from crocusspindle.core.window_bucket import TokenForecast, WindowBucket
from crocusspindle.ids import CustomerId, HostId, Incarnation

CHECK_INTERVAL_MS: Final = 10.0
"""Minimum interval between checks whether waiting requests still fit their limits. Each
takes a pass over the queue; at the rate of arrivals, they would cost a large customer's
keeper most of its processor time."""

_COUNTER_BITS: Final = 32
"""Low bits of a token's number, which count the tokens of the process; the high bits
identify the process. At 2,000 tokens a second they repeat after 24 days, while a number
is valid for a window of seconds."""


@dataclass(slots=True)
class _Account:
    """Hold one customer's bucket and the releases that it needs before it opens.

    ``tokens`` are those left in the bucket while it is closed. ``successor_since_ms``
    is when this node became the successor. ``released_at_ms`` holds when removed
    members released the customer, ``previous_released_ms`` when the previous keeper,
    still a member, did. Up to the view ``barred_to_view`` the bucket stays closed.
    """

    bucket: WindowBucket
    queue: TokenQueue = field(default_factory=TokenQueue)
    checked_ms: float = -math.inf
    tokens: float = 0.0
    opened: bool = False
    successor_since_ms: float = math.nan
    previous_released_ms: float = math.nan
    barred_to_view: int = -1
    untouched: bool = True
    released_at_ms: dict[ViewEntryKey, float] = field(default_factory=dict)

    def close(self) -> None:
        """Stop admitting; the next opening requires all releases again."""
        self.opened = False
        self.bucket.close()
        self.previous_released_ms = math.nan
        self.successor_since_ms = math.nan


class QuotaKeeper:
    """Admit requests of the customers that this node keeps.

    ``began_ms`` is when this node's process started. ``generator`` spreads the retry
    times of refused requests.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        fence_ms: float,
        window_ms: float,
        generator: random.Random,
        began_ms: float = math.inf,
    ) -> None:
        self._window_ms = window_ms
        self._began_ms = began_ms
        self._fence_ms = fence_ms
        self._view: View | None = None
        self._view_confirmed_at_ms = -math.inf
        self._rules: Mapping[CustomerId, CustomerRule] = {}
        self._accounts: dict[CustomerId, _Account] = {}
        self._fenced_since_ms: dict[ViewEntryKey, float] = {}
        self._history = AssignmentHistory(host, incarnation)
        self._token_prefix = _token_prefix(host, incarnation)
        self._tokens_spent = 0
        # Priorities are refused at their own rates, so each has its own retry times.
        self._retry_times = [RetryTimes(generator) for _ in range(LOWEST_PRIORITY + 1)]
        self._settled: list[WaitingSpend] = []

    def set_rules(self, rules: Mapping[CustomerId, CustomerRule]) -> None:
        """Apply a new configuration's limits; a lower burst truncates the buckets."""
        self._rules = rules

    def set_view(self, view: View, confirmed_at_ms: float, now_ms: float) -> None:
        """Apply a newer view, or a newer confirmation of the view in force."""
        if self._view is None or view.number > self._view.number:
            if now_ms - self._view_confirmed_at_ms > self._fence_ms:
                self._discard_state()
            self._history.update_view(view, now_ms)
            self._view = view
            self._fenced_since_ms = {
                entry.key: self._fenced_since_ms.get(entry.key, now_ms)
                for entry in view.fenced
            }
            self._close_reassigned(view.number, now_ms)
        if view.number == self._view.number:
            self._view_confirmed_at_ms = max(
                self._view_confirmed_at_ms, confirmed_at_ms
            )

    def _discard_state(self) -> None:
        # The confirmation expired and the view has changed since: another node may
        # have become keeper after the fence. The tokens left here must not be spent.
        self._history.forget()
        for account in self._accounts.values():
            self._close(account)
            account.tokens = 0.0

    def _close_reassigned(self, view_number: int, now_ms: float) -> None:
        # Another node keeps these customers now, even if it requests no release. A
        # bucket left open would refill for the time in which the other one spends.
        for customer, account in self._accounts.items():
            account.released_at_ms = {
                key: at_ms
                for key, at_ms in account.released_at_ms.items()
                if key in self._fenced_since_ms
            }
            if account.opened and not self.ranks_first(customer):
                self._freeze(account, customer, now_ms)
                self._close(account)
                account.barred_to_view = max(account.barred_to_view, view_number)

    def expired_entry_keys(self, now_ms: float) -> set[ViewEntryKey]:
        """Return the keys of fenced entries whose confirmations expired everywhere."""
        return {
            key
            for key, since_ms in self._fenced_since_ms.items()
            if now_ms - since_ms > self._fence_ms
        }

    def ranks_first(self, customer: CustomerId) -> bool:
        """Return True if this node ranks first for the customer among the members."""
        rank = self._history.rank(customer)
        return rank is not None and rank.first

    def _account(self, customer: CustomerId) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = _Account(WindowBucket(self._window_ms))
            self._accounts[customer] = account
        return account

    def pending_releases(self, customer: CustomerId, now_ms: float) -> list[ViewEntry]:
        """Return the view entries whose nodes have yet to release the customer."""
        account = self._account(customer)
        rank = self._history.rank(customer)
        if (
            self._view is None
            or rank is None
            or account.barred_to_view >= self._view.number
        ):
            return []
        if math.isnan(account.successor_since_ms):
            tenure = self._history.last_tenure(customer, account.barred_to_view)
            account.successor_since_ms = now_ms if tenure is None else tenure.since_ms
            account.tokens = 0.0
            account.untouched = False
        done = account.released_at_ms.keys() | self.expired_entry_keys(now_ms)
        waiting = [entry for entry in rank.removed_members if entry.key not in done]
        timed_out = now_ms - account.successor_since_ms > self._fence_ms
        previous_released = timed_out or not math.isnan(account.previous_released_ms)
        if rank.previous_holder is not None and not previous_released:
            waiting.append(rank.previous_holder)
        return waiting

    def spend(
        self,
        customer: CustomerId,
        wait_limit_ms: float,
        now_ms: float,
        priority: int = LOWEST_PRIORITY,
    ) -> SpendResult | WaitingSpend:
        """Spend one token, or wait for one if it arrives within the wait limit.

        Requests of a customer near its rate come in bursts: a short wait for a token
        serves a request that would be retried after a refusal. A longer wait than the
        limit is refused at once.
        """
        rule = self._rules.get(customer)
        if rule is None or not self._may_admit(customer, now_ms):
            return NotKept()
        if rule.rate_per_s <= 0.0:
            # The asking node still has a configuration in which there was a limit.
            return Admitted()
        account = self._accounts[customer]
        if not account.opened:
            self._open(account, customer, rule, now_ms)
            account.opened = True
        priority = min(max(0, priority), LOWEST_PRIORITY)
        self._give_tokens(account, rule, now_ms)
        if not account.queue and _has_token(account, rule, now_ms):
            return self._admit(account, priority, now_ms)
        forecast = TokenForecast.of(account.bucket, rule, now_ms)
        waiting = WaitingSpend(priority, now_ms + wait_limit_ms)
        if not account.queue.add(waiting, forecast):
            return self._refuse(account, forecast, waiting)
        self._refuse_unfit(account, forecast)
        return waiting if waiting.settled is None else waiting.settled

    def _admit(self, account: _Account, priority: int, now_ms: float) -> Admitted:
        self._tokens_spent += 1
        token = self._token_prefix | self._tokens_spent % (1 << _COUNTER_BITS)
        account.bucket.record_admission(now_ms, token)
        account.queue.record_token(priority)
        return Admitted(token)

    def _refuse(
        self, account: _Account, forecast: TokenForecast, waiting: WaitingSpend
    ) -> OverRate:
        rule, now_ms, priority = forecast.rule, forecast.now_ms, waiting.priority
        tokens = account.queue.tokens_until(priority, waiting.give_up_ms)
        rate_per_ms = rule.rate_per_s / 1e3 * account.queue.share_of(priority)
        retry_ms = self._retry_times[priority].next_for(
            rule.customer, now_ms, forecast.wait_ms(tokens), 1.0 / rate_per_ms
        )
        return OverRate(retry_ms - now_ms)

    def _give_tokens(
        self, account: _Account, rule: CustomerRule, now_ms: float
    ) -> None:
        while account.queue and _has_token(account, rule, now_ms):
            waiting = account.queue.pop()
            waiting.settled = self._admit(account, waiting.priority, now_ms)
            self._settled.append(waiting)

    def _refuse_unfit(self, account: _Account, forecast: TokenForecast) -> None:
        if forecast.now_ms < account.checked_ms + CHECK_INTERVAL_MS:
            return
        account.checked_ms = forecast.now_ms
        for waiting in account.queue.drop_unfit(forecast):
            waiting.settled = self._refuse(account, forecast, waiting)
            self._settled.append(waiting)

    def serve_waiting(self, customer: CustomerId, now_ms: float) -> float | None:
        """Give available tokens to waiting requests; refuse those that no longer fit.

        Return the time until the next token (ms), None if no request waits any more.
        """
        account = self._accounts.get(customer)
        if account is None or not account.queue:
            return None
        rule = self._rules.get(customer)
        is_limited = rule is not None and rule.rate_per_s > 0.0
        if not is_limited or not self._may_admit(customer, now_ms):
            self._end_waits(account)
            return None
        assert rule is not None
        self._give_tokens(account, rule, now_ms)
        if not account.queue:
            return None
        forecast = TokenForecast.of(account.bucket, rule, now_ms)
        self._refuse_unfit(account, forecast)
        return forecast.first_wait_ms if account.queue else None

    def settled(self) -> list[WaitingSpend]:
        """Return the waiting requests that were settled since the last call."""
        settled = self._settled
        self._settled = []
        return settled

    def abandon(
        self, customer: CustomerId, waiting: WaitingSpend, now_ms: float
    ) -> None:
        """Drop a waiting request, or take its token back if it just got one."""
        self._account(customer).queue.remove(waiting)
        if isinstance(waiting.settled, Admitted):
            self.take_back(customer, waiting.settled.token, now_ms)

    def take_back(self, customer: CustomerId, token: int, now_ms: float) -> bool:
        """Take a token back whose request did not run; give it to the next one.

        Return False if it can't be taken back: twice, after more than a window, or
        after this node stopped keeping the customer.
        """
        account = self._accounts.get(customer)
        if account is None or not account.bucket.take_back(token, now_ms):
            return False
        self.serve_waiting(customer, now_ms)
        return True

    def _close(self, account: _Account) -> None:
        account.close()
        self._end_waits(account)

    def _end_waits(self, account: _Account) -> None:
        for waiting in account.queue.clear():
            waiting.settled = NotKept()
            self._settled.append(waiting)

    def _may_admit(self, customer: CustomerId, now_ms: float) -> bool:
        if now_ms - self._view_confirmed_at_ms >= self._fence_ms:
            return False
        if not self.ranks_first(customer) or self.pending_releases(customer, now_ms):
            return False
        assert self._view is not None
        return self._accounts[customer].barred_to_view < self._view.number

    def _open(
        self, account: _Account, customer: CustomerId, rule: CustomerRule, now_ms: float
    ) -> None:
        account.untouched = False
        tenure = self._history.last_tenure(customer, account.barred_to_view)
        if tenure is None:
            account.bucket.open(account.tokens, rule, now_ms)
            return
        # Before the fleet's first view no node can have spent any tokens.
        unspent = tenure.views[0].view.is_first
        tokens = rule.burst if unspent else account.tokens
        since_ms = min(now_ms, self._exclusive_since_ms(tenure, customer, account))
        account.bucket.open(tokens, rule, since_ms)

    def _exclusive_since_ms(
        self, tenure: Tenure, customer: CustomerId, account: _Account
    ) -> float:
        """Return since when no other node can have admitted the customer."""
        removed_end_ms: dict[ViewEntryKey, float] = {}
        exclusive_ms = tenure.since_ms
        if tenure.continues_own_tenure:
            # The previous process of this host had ended when this one started.
            exclusive_ms = min(exclusive_ms, self._began_ms)
        for seen in tenure.views:
            rank = self._history.rank_in(seen.view, customer)
            if rank is None:
                continue
            for entry in rank.removed_members:
                removed_end_ms.setdefault(entry.key, seen.seen_ms + self._fence_ms)
            if rank.previous_holder is not None and math.isnan(
                account.previous_released_ms
            ):
                exclusive_ms = max(exclusive_ms, tenure.since_ms + self._fence_ms)
        if not math.isnan(account.previous_released_ms):
            exclusive_ms = max(exclusive_ms, account.previous_released_ms)
        ends = (
            account.released_at_ms.get(key, ends_ms)
            for key, ends_ms in removed_end_ms.items()
        )
        return max(exclusive_ms, *ends) if removed_end_ms else exclusive_ms

    def _freeze(self, account: _Account, customer: CustomerId, now_ms: float) -> None:
        rule = self._rules.get(customer)
        remaining = 0.0 if rule is None else account.bucket.tokens(rule, now_ms)
        account.tokens = max(0.0, remaining)

    def record_release(
        self,
        customer: CustomerId,
        releaser: ViewEntryKey,
        tokens: float,
        now_ms: float,
        unspent_ms: float = 0.0,
    ) -> None:
        """Record that a node released the customer, with the tokens left.

        It has spent none of the customer's tokens for the last ``unspent_ms``.
        """
        account = self._account(customer)
        if releaser in self._fenced_since_ms:
            account.released_at_ms[releaser] = now_ms - unspent_ms
        else:
            account.previous_released_ms = now_ms - unspent_ms
        if not account.opened:
            account.tokens = max(account.tokens, tokens)

    def release(self, customer: CustomerId, view_number: int, now_ms: float) -> float:
        """Stop keeping a customer up to a view; return the tokens handed over.

        The successor may have a view that this node has not received. Its request is
        always followed: stopping is safe, while continuing could result in two keepers.
        """
        account = self._account(customer)
        if account.opened:
            self._freeze(account, customer, now_ms)
        else:
            self._fill_unopened(account, customer, now_ms)
        account.barred_to_view = max(account.barred_to_view, view_number)
        tokens = account.tokens
        self._close(account)
        account.tokens = 0.0
        return tokens

    def unspent_ms(self, customer: CustomerId, now_ms: float) -> float:
        """Return for how long no process of this host can have spent a token.

        The previous process had ended when this one started. What is left of this
        host's tokens after that is handed over in a release instead, so that a process
        that may have kept the customer returns 0.
        """
        account = self._account(customer)
        may_have_kept = (
            not account.untouched
            or not self._history.is_complete
            or self._history.last_tenure(customer, -1) is not None
        )
        return 0.0 if may_have_kept else max(0.0, now_ms - self._began_ms)

    def _fill_unopened(
        self, account: _Account, customer: CustomerId, now_ms: float
    ) -> None:
        # No request came while this node kept the customer, so the bucket never opened:
        # it counts as filled since this node became the only keeper.
        rule = self._rules.get(customer)
        tenure = self._history.last_tenure(customer, account.barred_to_view)
        if rule is None or tenure is None:
            return
        if math.isnan(account.successor_since_ms):
            account.tokens = 0.0
        ended_ms = now_ms if tenure.ended_ms is None else tenure.ended_ms
        fence_ends_ms = self._view_confirmed_at_ms + self._fence_ms
        exclusive_ms = self._exclusive_since_ms(tenure, customer, account)
        if now_ms < fence_ends_ms and exclusive_ms <= ended_ms:
            self._open(account, customer, rule, now_ms)
            account.tokens = account.bucket.tokens(rule, ended_ms)


def _has_token(account: _Account, rule: CustomerRule, now_ms: float) -> bool:
    return account.bucket.tokens(rule, now_ms) >= 1.0


def _token_prefix(host: HostId, incarnation: Incarnation) -> int:
    process = hashlib.sha256(f"{host} {incarnation}".encode()).digest()
    return int.from_bytes(process[:4]) << _COUNTER_BITS
