"""Place requests of services drawn by seed, and compare the losses with an oracle's.

There are 1 to 200 targets, work of 2 ms to 20 s, errors, and gray failures of half a
second to a minute. The oracle knows which targets are gray and sends nothing there.
No placer can avoid losing requests that reach a target while it turns gray: the bound
grows with the number of gray failures.
"""

import random

import pytest

from benchmarks.placing_simulation import (
    Gray,
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
)
from crocusspindle.core.attempt_outcome import AttemptOutcome

SERVICES = 24
REQUESTS = 3_000
GRAY_OUTCOMES = (
    AttemptOutcome.SILENT,
    AttemptOutcome.BROKEN,
    AttemptOutcome.ERROR,
    AttemptOutcome.SHED,
    AttemptOutcome.ANSWERED,
)


def random_scenario(seed: int) -> ServiceScenario:
    """Return a service drawn by a seed, with a fifth to three fifths of it in use."""
    rng = random.Random(seed)
    targets = round(200 ** rng.random()) + 1
    slots = round(64 ** rng.random())
    work_ms = 2.0 * 10_000.0 ** rng.random()
    spread = rng.uniform(0.1, 0.8)
    load = rng.uniform(0.2, 0.6)
    rate_per_s = load * targets * slots / work_ms * 1e3
    length_ms = REQUESTS / rate_per_s * 1e3
    idempotent_share = rng.uniform(0.1, 0.9)
    aim_ms = work_ms * rng.uniform(3.0, 5.0)
    route_loads = [
        RouteLoad(
            name,
            idempotent,
            rate_per_s * share,
            work_ms,
            spread,
            aim_ms,
            4.0 * aim_ms,
            error_fraction=rng.uniform(0.0, 0.1),
        )
        for name, idempotent, share in (
            ("safe", True, idempotent_share),
            ("once", False, 1 - idempotent_share),
        )
    ]
    shortest_ms = 500.0 * 60.0 ** rng.random()
    gray = Gray(
        share=rng.uniform(0.05, 0.3),
        period_ms=4.0 * shortest_ms,
        shortest_ms=shortest_ms,
        longest_ms=2.0 * shortest_ms,
        failure_fraction=rng.uniform(0.5, 1.0),
        outcome=rng.choice(GRAY_OUTCOMES),
    )
    domains = min(targets, rng.randint(1, 4))
    return ServiceScenario(
        targets, slots, route_loads, gray, domains=domains, length_ms=length_ms
    )


def gray_windows(scenario: ServiceScenario) -> float:
    """Return how many gray failures a placer has to detect."""
    assert scenario.gray is not None
    periods = scenario.length_ms / scenario.gray.period_ms + 1.0
    return scenario.targets * scenario.gray.share * periods


@pytest.mark.parametrize("seed", range(SERVICES))
def test_an_unknown_service_loses_little_beyond_what_an_oracle_loses(seed):
    """Guards against thresholds that fit only some services.

    On another one they would eject its targets for being slow, or leave gray ones in
    use.
    """
    scenario = random_scenario(seed)
    tallies = PlacingSimulation(scenario, seed).run()
    oracle = PlacingSimulation(scenario, seed, oracle=True).run()
    # A gray failure costs a request for each slot of its target, and again when an
    # ejection ends. Three for each slot are allowed, and at most a tenth of all
    # requests.
    max_extra_failures = min(
        0.1 * REQUESTS, 3.0 * scenario.slots * gray_windows(scenario)
    )
    for name in ("once", "safe"):
        extra_failures = tallies[name].lost + tallies[name].refused
        extra_failures -= oracle[name].lost + oracle[name].refused
        assert extra_failures <= max_extra_failures + 0.02 * tallies[name].request_count
