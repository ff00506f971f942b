"""Test the bound on retries while hosts ask changing placers.

At least 0.7 of the bound must be in use, or the check of the bound says nothing.
"""

import random
from bisect import bisect_left
from dataclasses import replace
from types import SimpleNamespace

import pytest

from crocusspindle import clock
from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.core.retry_account import RetryAccount
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.view import View, ViewEntry
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.retry_budgets import RetryBudgets
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import DomainId, HostId, ServiceId
from tests.gateway.test_fleet_state import view_entry

SERVICE = ServiceId("books")
RATIO = 0.2
EXTRA = 218.0
WINDOW_MS = 10_000.0
REQUESTS_PER_S = 523
RETRIES_WANTED = 3
HOSTS = 133
CALM_S = 11.0
MIN_USED = 0.7


class Fleet:
    """Send requests from hosts whose retries are allowed by one of several placers."""

    def __init__(self, placers: int, seed: int = 0, rate_per_s: int = REQUESTS_PER_S):
        self.rng = random.Random(seed)
        self.budgets = [self.new_budget() for _ in range(placers)]
        self.accounts = [self.new_account(host, 0.0) for host in range(HOSTS)]
        self.processes = [0] * HOSTS
        self.placer_of = lambda host, now_ms: 0
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.unreported_share = 0.0
        self._step_ms = 1e3 / rate_per_s
        self.now_ms = WINDOW_MS

    @staticmethod
    def new_budget() -> RetryBudget:
        """Return the budget of a placer that knows nothing."""
        # The fixed part belongs to the hosts' accounts.
        return RetryBudget(RATIO, 0.0, WINDOW_MS)

    @staticmethod
    def new_account(process: int, began_ms: float) -> RetryAccount:
        """Return the account of a process."""
        return RetryAccount(RATIO, EXTRA, WINDOW_MS, began_ms, process)

    def restart(self, host: int) -> None:
        """Replace a host's process."""
        self.processes[host] += 1
        process = host + self.processes[host] * HOSTS
        self.accounts[host] = self.new_account(process, self.now_ms)

    def pass_time(self, for_s: float, retries_wanted: int) -> None:
        """Send requests; each is retried so many times if that is allowed."""
        until_ms = self.now_ms + for_s * 1e3
        while self.now_ms < until_ms:
            host = self.rng.randrange(HOSTS)
            self.accounts[host].request(self.now_ms)
            self.requests.append(self.now_ms)
            self.ask(host, retries_wanted)
            self.now_ms += self._step_ms

    def ask(self, host: int, retries_wanted: int) -> None:
        """Ask for the first attempt of a request and for its retries."""
        budget = self.budgets[self.placer_of(host, self.now_ms)]
        account = self.accounts[host]
        for attempt in range(1 + retries_wanted):
            if attempt:
                account.begin_retry()
            reporter = self._report(host, budget)
            if not attempt:
                if reporter is None:
                    budget.request(self.now_ms)
                continue
            allowed = budget.retry(self.now_ms, reporter=reporter)
            account.end_retry(allowed, self.now_ms)
            if not allowed:
                break
            self.retries.append(self.now_ms)

    def _report(self, host: int, budget: RetryBudget):
        if self.unreported_share and self.rng.random() < self.unreported_share:
            return None
        report = self.accounts[host].report(HOSTS, self.now_ms)
        reporter = (HostId(f"h{host}"), report.process)
        budget.record_report(reporter, report, self.now_ms)
        return reporter

    def assert_within_bound(self, min_used: float = MIN_USED) -> None:
        """Check all windows, each with the requests of the window that has most."""
        excess, bound = max(map(self._excess, self.retries))
        assert excess <= 0.0
        assert excess >= -(1.0 - min_used) * bound

    def _excess(self, start_ms: float) -> tuple[float, float]:
        def count(times: list[float], at_ms: float) -> int:
            return bisect_left(times, at_ms + WINDOW_MS) - bisect_left(times, at_ms)

        starts = (start_ms, start_ms - WINDOW_MS / 2, start_ms - WINDOW_MS)
        bound = RATIO * max(count(self.requests, at) for at in starts) + EXTRA
        return count(self.retries, start_ms) - bound, bound


def test_one_placer_uses_most_of_the_bound():
    """Guards against a budget that hosts hold back from each other."""
    fleet = Fleet(1)
    fleet.pass_time(CALM_S, 0)
    fleet.pass_time(12.0, RETRIES_WANTED)
    fleet.assert_within_bound(min_used=0.8)


@pytest.mark.parametrize("every_s", [0.5, 2.0, 5.0])
def test_retries_stay_within_the_bound_while_placers_change(every_s):
    """Guards against successors that don't know what their predecessors have allowed.

    Nothing is sent from one placer to another.
    """
    fleet = Fleet(3)
    fleet.placer_of = lambda host, now_ms: int(now_ms / (every_s * 1e3)) % 3
    fleet.pass_time(CALM_S, 0)
    fleet.pass_time(15.0, RETRIES_WANTED)
    fleet.assert_within_bound()


@pytest.mark.parametrize("seed", range(3))
def test_placers_of_all_ranks_keep_within_the_bound_together(seed):
    """Guards against placers that hosts use by turns and that each allow a whole bound.

    Hosts pass over placers that are silent, each for its own reason and time.
    """
    fleet = Fleet(3, seed)
    turn_ms = [fleet.rng.uniform(300.0, 1_500.0) for _ in range(HOSTS)]
    fleet.placer_of = lambda host, now_ms: int(now_ms / turn_ms[host]) % 3
    fleet.pass_time(CALM_S, 0)
    fleet.pass_time(15.0, RETRIES_WANTED)
    fleet.assert_within_bound()


def test_placers_that_do_not_know_of_each_other_keep_within_the_bound():
    """Guards against two placers that each spend what all hosts have left unused."""
    fleet = Fleet(2)
    fleet.pass_time(CALM_S, 0)
    fleet.placer_of = lambda host, now_ms: host % 2
    fleet.pass_time(15.0, RETRIES_WANTED)
    fleet.assert_within_bound()


@pytest.mark.parametrize("every_s", [0.5, 2.0])
def test_placers_that_know_nothing_allow_what_is_left(every_s):
    """Guards against a part of the bound for each of many new placers in a window."""
    fleet = Fleet(1)
    fleet.pass_time(CALM_S, 0)
    for _ in range(int(15.0 / every_s)):
        fleet.budgets[0] = fleet.new_budget()
        fleet.pass_time(every_s, RETRIES_WANTED)
    fleet.assert_within_bound()


def test_a_placer_that_knows_nothing_allows_few_retries_once_the_bound_is_used():
    """All placers lose power right after the hosts have used the bound."""
    fleet = Fleet(1)
    fleet.pass_time(CALM_S, 0)
    fleet.pass_time(8.0, RETRIES_WANTED)
    used = len(fleet.retries)
    fleet.budgets[0] = fleet.new_budget()
    fleet.pass_time(1.0, RETRIES_WANTED)
    assert len(fleet.retries) - used <= 0.1 * (RATIO * REQUESTS_PER_S * 10.0 + EXTRA)


def test_restarted_hosts_keep_within_the_bound():
    """Guards against processes that use the fixed part of the bound once more each."""
    fleet = Fleet(1)
    fleet.pass_time(CALM_S, 0)
    for number in range(60):
        for host in range(number % 4, HOSTS, 20):
            fleet.restart(host)
        fleet.pass_time(0.25, RETRIES_WANTED)
    # A fifth of the hosts restarts every second and has hardly any part.
    fleet.assert_within_bound(min_used=0.6)


@pytest.mark.parametrize("placers", [1, 3])
def test_requests_without_a_report_keep_within_the_bound(placers):
    """Guards against requests that count for their host and for their placer."""
    fleet = Fleet(placers)
    fleet.unreported_share = 0.3
    fleet.placer_of = lambda host, now_ms: int(now_ms / 700.0 + host) % placers
    fleet.pass_time(CALM_S, 0)
    fleet.pass_time(15.0, RETRIES_WANTED)
    fleet.assert_within_bound()


def test_a_few_hosts_use_what_the_others_have_left():
    """Guards against retries that are refused while most of the bound is unused."""
    fleet = Fleet(1)
    fleet.pass_time(CALM_S, 0)
    asked = fleet.rng.sample(range(HOSTS), 10)
    for host in asked:
        fleet.ask(host, 20)
    assert len(fleet.retries) == 10 * 20


def test_a_fleet_that_has_just_started_retries_a_tenth_of_the_fixed_part():
    """Guards against refused requests in the first second of a small fleet."""
    extra, hosts = 50.0, 3
    budget = RetryBudget(RATIO, 0.0, WINDOW_MS)
    accounts = [
        RetryAccount(RATIO, extra, WINDOW_MS, 0.0, host) for host in range(hosts)
    ]
    retries = 0
    for number in range(12):
        now_ms, account = 20.0 * number, accounts[number % hosts]
        account.begin_retry()
        report = account.report(hosts, now_ms)
        reporter = (HostId("h"), report.process)
        budget.record_report(reporter, report, now_ms)
        allowed = budget.retry(now_ms, reporter=reporter)
        account.end_retry(allowed, now_ms)
        retries += allowed
    assert retries >= 0.1 * extra


def test_a_retry_counts_when_its_target_is_granted():
    """Guards against retries that wait, and are sent beside those of a later window."""
    account = RetryAccount(RATIO, 0.0, WINDOW_MS, 0.0)
    for at_ms in range(100):
        account.request(float(at_ms))
    account.begin_retry()
    assert account.report(1, 100.0).used == 1
    account.end_retry(granted=True, now_ms=4_000.0)
    assert account.report(1, 13_999.0).used == 1
    assert account.report(1, 14_000.0).used == 0


def test_a_retry_without_a_target_is_not_counted():
    """Guards against refused retries that use up the budget of others."""
    account = RetryAccount(RATIO, 0.0, WINDOW_MS, 0.0)
    account.begin_retry()
    account.end_retry(granted=False, now_ms=100.0)
    assert account.report(1, 100.0).used == 0


def test_a_request_that_also_went_to_a_slow_placer_is_counted_once():
    """The first placer is slow, and the nodes send their requests to the second too.

    Counted by both, each request would add to the allowance for retries twice.
    """
    placement_request = PlacementRequest(
        HostId("entry"), DomainId("a"), "r", False, 1, 800.0, 2_000.0, counted=True
    )
    budget = RetryBudget(RATIO, 0.0, WINDOW_MS)
    placer = ServicePlacer(0.7, budget)
    for now_ms in range(100):
        placer.request_placement(placement_request, float(now_ms))
    assert not budget.retry(100.0)


def test_a_placer_has_no_fixed_part_of_its_own():
    """Guards against a fixed part for each of many placers, besides those of hosts."""
    budget = RetryBudgets(LiveBounds(Bounds(budget_extra=EXTRA))).budget(SERVICE)
    assert not budget.retry(clock.now_ms())


def test_hosts_of_a_view_that_has_shrunk_keep_their_parts():
    """Guards against fixed parts that grow as members leave the view for a moment."""
    state = SimpleNamespace(view=SimpleNamespace(version=1, content=view(4)))
    ranks = PlacerRanks(view_entry(0).node, None, state)
    ranks.update_view()
    state.view = SimpleNamespace(version=2, content=view(1))
    ranks.update_view()
    assert ranks.max_members(clock.now_ms() - WINDOW_MS) == 4
    assert ranks.max_members(clock.now_ms() + 1.0) == 1


def view(members: int) -> View:
    nodes = (
        replace(view_entry(number).node, ip=f"10.1.0.{number}")
        for number in range(members)
    )
    return View(1, tuple(ViewEntry(node, 1) for node in nodes))
