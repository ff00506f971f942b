"""Hold the bound on repeats while the duty of placing moves from host to host."""

import pytest

from crocusspindle.core.asks import Ask
from crocusspindle.core.repeat_budget import RepeatBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId

RATIO = 0.2
EXTRA = 218.0
WINDOW_MS = 10_000.0
REQUESTS_PER_S = 500
CALM_S = 20
TROUBLE_S = 20


class Placers:
    """Hold the counts of several placers of a service, one of which is asked."""

    def __init__(self, count: int) -> None:
        self.budgets = [RepeatBudget(RATIO, EXTRA, WINDOW_MS) for _ in range(count)]
        self.first = 0
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self.rank(0, 0.0)

    def rank(self, first: int, now_ms: float) -> None:
        """Make a placer the first by rank, the others follow in their order."""
        self.first = first
        for number, budget in enumerate(self.budgets):
            budget.set_rank((number - first) % len(self.budgets), now_ms)

    def tell(self, from_: int, now_ms: float) -> None:
        """Let a placer tell the others what it counted."""
        budget = self.budgets[from_]
        records = budget.records(f"p{from_}", now_ms)
        for number, other in enumerate(self.budgets):
            if number != from_:
                known_ms = budget.known_ms(now_ms)
                other.hear(f"p{number}", records, known_ms, now_ms)

    def pass_time(self, from_s: float, to_s: float, refused: bool) -> None:
        """Send requests; each is repeated three times if targets refuse them."""
        step_ms = 1_000.0 / REQUESTS_PER_S
        now_ms = from_s * 1e3
        while now_ms < to_s * 1e3:
            budget = self.budgets[self.first]
            budget.request(now_ms)
            self.requests.append(now_ms)
            for _ in range(3 if refused else 0):
                if budget.repeat(now_ms):
                    self.repeats.append(now_ms)
                if budget.is_due_to_tell(now_ms):
                    self.tell(self.first, now_ms)
            now_ms += step_ms

    def most_beyond(self) -> float:
        """Return by how much the worst window goes beyond the bound."""
        starts = sorted({0.0, *self.repeats})[:: len(self.budgets)]
        return max(self._beyond(start) for start in starts)

    def _beyond(self, start_ms: float) -> float:
        def count(times: list[float], at_ms: float) -> int:
            return sum(at_ms <= time < at_ms + WINDOW_MS for time in times)

        befores = (start_ms, start_ms - WINDOW_MS / 2, start_ms - WINDOW_MS)
        requests = max(count(self.requests, at) for at in befores)
        return count(self.repeats, start_ms) - RATIO * requests - EXTRA


@pytest.mark.parametrize("every_s", [0.5, 2.0, 5.0])
def test_repeats_stay_within_the_bound_while_placers_change(every_s):
    """Most targets of a service refuse their work, and the view of the members changes.

    With each change another host places for the service. It counted the requests that
    came to itself and let a fifth of them be repeated, while its predecessor had let
    as many through a moment before: the service got half as many repeats again as the
    bound allows, just when it could carry least. The counts stayed where they were
    when the duty moved; told to whoever may take over, they stay below the bound.
    """
    placers = Placers(3)
    placers.pass_time(0.0, CALM_S, refused=False)
    now_s = float(CALM_S)
    while now_s < CALM_S + TROUBLE_S:
        placers.pass_time(now_s, now_s + every_s, refused=True)
        now_s += every_s
        placers.rank((placers.first + 1) % 3, now_s * 1e3)
    assert placers.most_beyond() <= 0.0


def test_a_request_that_came_by_a_slow_placer_is_counted_once():
    """The first placer is slow, and its entries ask the second one as well.

    Counted by both, each request earned the service two shares of a repeat.
    """
    asked = Ask(
        HostId("entry"), DomainId("a"), "r", False, 1, 800.0, 2_000.0, counted=True
    )
    budget = RepeatBudget(RATIO, 0.0, WINDOW_MS)
    budget.knows_since(-2 * WINDOW_MS)
    placer = ServicePlacer(0.7, budget)
    for now_ms in range(100):
        placer.ask(asked, float(now_ms))
    assert not budget.repeat(100.0)


def test_a_placer_that_is_lost_leaves_little_unknown():
    """The first placer loses power in the middle of trouble, between two tellings.

    What it had not told is used once more by the next. The bound holds all the same.
    """
    placers = Placers(3)
    placers.pass_time(0.0, CALM_S, refused=False)
    placers.pass_time(CALM_S, CALM_S + 1.1, refused=True)
    placers.rank(1, (CALM_S + 1.1) * 1e3)
    placers.pass_time(CALM_S + 1.1, CALM_S + 12.0, refused=True)
    assert placers.most_beyond() <= 0.0
    assert len(placers.repeats) > 0.7 * RATIO * REQUESTS_PER_S * 10.0


def test_a_placer_that_nobody_told_repeats_little():
    """All three that are told lose power together, and a fourth takes over.

    They may have used the whole bound a moment before.
    """
    budget = RepeatBudget(RATIO, EXTRA, WINDOW_MS)
    used = 0
    for now_ms in range(0, 9_000, 2):
        budget.request(float(now_ms))
        used += budget.repeat(float(now_ms))
    assert used <= 0.1 * (RATIO * 4_500 + EXTRA)
