"""Test the bound on retries while the role of the placer moves between hosts."""

import pytest

from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId

RATIO = 0.2
EXTRA = 218.0
WINDOW_MS = 10_000.0
REQUESTS_PER_S = 500
CALM_S = 20
INCIDENT_S = 20


class Placers:
    """Hold the budgets of several placers of a service, one of which gets requests."""

    def __init__(self, count: int) -> None:
        self.budgets = [RetryBudget(RATIO, EXTRA, WINDOW_MS) for _ in range(count)]
        self.first = 0
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.rank(0, 0.0)

    def rank(self, first: int, now_ms: float) -> None:
        """Rank one placer first; the others follow in their order."""
        self.first = first
        for number, budget in enumerate(self.budgets):
            budget.set_rank((number - first) % len(self.budgets), now_ms)

    def publish(self, sender: int, now_ms: float) -> None:
        """Publish a placer's counts to the others."""
        budget = self.budgets[sender]
        records = budget.records(f"p{sender}", now_ms)
        for number, other in enumerate(self.budgets):
            if number != sender:
                known_ms = budget.known_ms(now_ms)
                other.receive(f"p{number}", records, known_ms, now_ms)

    def pass_time(self, from_s: float, to_s: float, refused: bool) -> None:
        """Send requests; each is retried three times if targets refuse them."""
        step_ms = 1_000.0 / REQUESTS_PER_S
        now_ms = from_s * 1e3
        while now_ms < to_s * 1e3:
            budget = self.budgets[self.first]
            budget.request(now_ms)
            self.requests.append(now_ms)
            for _ in range(3 if refused else 0):
                if budget.retry(now_ms):
                    self.retries.append(now_ms)
                if budget.is_publish_due(now_ms):
                    self.publish(self.first, now_ms)
            now_ms += step_ms

    def max_excess(self) -> float:
        """Return by how much the worst window exceeds the bound."""
        starts = sorted({0.0, *self.retries})[:: len(self.budgets)]
        return max(self._excess(start) for start in starts)

    def _excess(self, start_ms: float) -> float:
        def count(times: list[float], at_ms: float) -> int:
            return sum(at_ms <= time < at_ms + WINDOW_MS for time in times)

        request_starts = (start_ms, start_ms - WINDOW_MS / 2, start_ms - WINDOW_MS)
        requests = max(count(self.requests, at) for at in request_starts)
        return count(self.retries, start_ms) - RATIO * requests - EXTRA


@pytest.mark.parametrize("every_s", [0.5, 2.0, 5.0])
def test_retries_stay_within_the_bound_while_placers_change(every_s):
    """Most targets of a service refuse requests, and the member view changes.

    Each change moves the role of the placer to another host. If the new placer counts
    only its own requests, it allows retries for a fifth of them right after its
    predecessor did the same: the service gets half as many retries again as the bound
    allows, when its capacity is lowest. With the counts published to the possible
    successors, the retries stay within the bound.
    """
    placers = Placers(3)
    placers.pass_time(0.0, CALM_S, refused=False)
    now_s = float(CALM_S)
    while now_s < CALM_S + INCIDENT_S:
        placers.pass_time(now_s, now_s + every_s, refused=True)
        now_s += every_s
        placers.rank((placers.first + 1) % 3, now_s * 1e3)
    assert placers.max_excess() <= 0.0


def test_a_request_that_also_went_to_a_slow_placer_is_counted_once():
    """The first placer is slow, and the nodes send their requests to the second too.

    Counted by both, each request would add to the allowance for retries twice.
    """
    placement_request = PlacementRequest(
        HostId("entry"), DomainId("a"), "r", False, 1, 800.0, 2_000.0, counted=True
    )
    budget = RetryBudget(RATIO, 0.0, WINDOW_MS)
    budget.set_known_since(-2 * WINDOW_MS)
    placer = ServicePlacer(0.7, budget)
    for now_ms in range(100):
        placer.request_placement(placement_request, float(now_ms))
    assert not budget.retry(100.0)


def test_a_lost_placer_leaves_few_retries_unpublished():
    """The first placer loses power during an incident, between two publications.

    The next placer uses the unpublished retries once more. The bound still holds.
    """
    placers = Placers(3)
    placers.pass_time(0.0, CALM_S, refused=False)
    placers.pass_time(CALM_S, CALM_S + 1.1, refused=True)
    placers.rank(1, (CALM_S + 1.1) * 1e3)
    placers.pass_time(CALM_S + 1.1, CALM_S + 12.0, refused=True)
    assert placers.max_excess() <= 0.0
    assert len(placers.retries) > 0.7 * RATIO * REQUESTS_PER_S * 10.0


def test_a_placer_without_received_counts_allows_few_retries():
    """All three placers that share counts lose power together; a fourth takes over.

    The three may have used the whole bound just before.
    """
    budget = RetryBudget(RATIO, EXTRA, WINDOW_MS)
    used = 0
    for now_ms in range(0, 9_000, 2):
        budget.request(float(now_ms))
        used += budget.retry(float(now_ms))
    assert used <= 0.1 * (RATIO * 4_500 + EXTRA)
