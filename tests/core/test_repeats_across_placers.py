"""Hold the bound on repeats while the duty of placing moves from host to host."""

import pytest

from crocusspindle.core.repeat_budget import RepeatBudget

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
    bound allows, just when it could carry least.
    """
    placers = Placers(3)
    placers.pass_time(0.0, CALM_S, refused=False)
    now_s = float(CALM_S)
    while now_s < CALM_S + TROUBLE_S:
        placers.pass_time(now_s, now_s + every_s, refused=True)
        now_s += every_s
        placers.rank((placers.first + 1) % 3, now_s * 1e3)
    assert placers.most_beyond() <= 0.0
