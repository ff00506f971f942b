"""Run a coordinator under load and check the results for callers."""

import random
from dataclasses import replace

import pytest

from benchmarks.queueing import (
    LARGEST,
    demands,
    describe_customers,
    exponential_work,
    five_times_neighbour,
    fraction_in_time,
    make_driver,
    mixed_work,
    place_by_coordinator,
    place_by_entries,
    serve,
)
from benchmarks.virtual import (
    ConstantTargetWeights,
    CoordinatorDriver,
    Demand,
    EventLoop,
    Verdict,
    make_jobs,
    make_targets,
)
from crocusspindle.core.group_coordinator import CoordinatorSettings, GroupCoordinator
from crocusspindle.ids import CustomerId
from tests.core.coordinator_fakes import FakeTargetWeights


def test_a_customer_at_five_times_its_rate_starves_no_other():
    """One customer sends five times its rate. With one shared queue, small customers
    lose nearly half of their requests; with fair queueing they lose none."""
    shared = describe_customers(serve(five_times_neighbour(), 20.0, False), LARGEST)
    fair = describe_customers(serve(five_times_neighbour(), 20.0), LARGEST)
    assert shared["worst_share_in_time"] < 0.8
    assert fair["worst_share_in_time"] >= 0.999
    assert fair["worst_p99_ms"] < 600.0


def test_a_burst_fills_only_its_own_share_of_the_queue():
    """A customer sends 3,000 requests at once into a queue that holds 200. The requests
    of others must neither be refused for it nor wait behind it."""
    jobs = make_jobs(demands(0.5), 10_000.0, exponential_work, random.Random(3))
    burst = make_jobs(
        [Demand(CustomerId("burst"), 300_000.0, 80.0, 5_000.0)],
        10.0,
        exponential_work,
        random.Random(4),
    )
    for number, job in enumerate(burst, start=1_000_000):
        job.request = number
        job.arrived_ms += 5_000.0
        job.deadline_ms += 5_000.0
    loop, driver, _ = make_driver(CoordinatorSettings(max_queued=200))
    driver.submit(jobs)
    driver.submit(burst)
    loop.run()
    assert len(burst) > 2_500
    assert fraction_in_time(jobs) == 1.0
    assert max(job.answered_ms - job.arrived_ms for job in jobs) < 1_000.0


def test_excess_load_is_refused_early_and_the_rest_is_served():
    """All customers together send four times the capacity. Callers must be refused long
    before their deadline, and the targets must not do useless work."""
    jobs = serve(demands(6.0), 20.0)
    refused = [job for job in jobs if job.verdict is Verdict.REFUSED]
    refused_at_once = [job for job in refused if job.answered_ms < job.arrived_ms + 10]
    unknown = [job for job in jobs if job.verdict is Verdict.UNKNOWN]
    assert len(refused_at_once) > 0.9 * len(refused)
    assert len(unknown) < 0.02 * len(jobs)
    assert sum(job.in_time for job in jobs) > 0.9 * 20.0 * 320.0
    assert all(job.executions == 0 for job in refused)
    assert all(job.retry_at_ms > job.arrived_ms for job in refused)


@pytest.mark.parametrize(
    "fault, patience_ms", [("slow", 600.0), ("mute", 1_000.0), ("failing", 1_000.0)]
)
def test_one_bad_target_costs_no_caller_its_answer(fault, patience_ms):
    """One of eight targets becomes slow or silent or fails a third of its work. Callers
    get their answers from others even before the target is ejected."""

    def worst(settings):
        demand = demands(patience_ms=patience_ms)
        jobs = make_jobs(demand, 20_000.0, exponential_work, random.Random(3))
        loop, driver, targets = make_driver(settings)
        targets[0].slowness = 5.0 if fault == "slow" else 1.0
        targets[0].mute = fault == "mute"
        targets[0].fail_fraction = 0.3 if fault == "failing" else 0.0
        driver.submit(jobs)
        loop.run()
        return describe_customers(jobs, None)["worst_share_in_time"]

    plain = CoordinatorSettings(retry_fraction=0.0, hedge_fraction=0.0, max_attempts=1)
    assert worst(plain) < 0.995
    assert worst(CoordinatorSettings()) >= 0.999


def test_retries_do_not_multiply_a_total_failure():
    """All targets fail. Three attempts per request would triple the load of the failing
    targets; the retry tokens keep it near one attempt per request."""

    def sent_per_request(settings):
        jobs = make_jobs(demands(), 20_000.0, exponential_work, random.Random(3))
        loop, driver, targets = make_driver(settings)
        for target in targets:
            target.fail_fraction = 1.0
        driver.submit(jobs)
        loop.run()
        return sum(job.sent for job in jobs) / len(jobs)

    assert sent_per_request(CoordinatorSettings(retry_fraction=1.0)) > 1.5
    assert sent_per_request(CoordinatorSettings()) < 1.12


def test_short_work_beside_long_work_meets_its_deadline():
    """A few customers send long uploads, others short lookups, together above the
    capacity. The lookups have short deadlines and must not wait behind the uploads."""
    demand = [
        Demand(CustomerId(f"customer-{index}"), rate_per_s, 60.0, patience_ms)
        for index, (rate_per_s, patience_ms) in enumerate(
            [(400.0, 5_000.0), (60.0, 5_000.0), (60.0, 400.0), (60.0, 400.0)]
        )
    ]
    jobs = make_jobs(demand, 20_000.0, mixed_work, random.Random(3))
    lookups = [job for job in jobs if job.customer >= "customer-2"]
    for job in lookups:
        job.work_ms = 20.0
    loop, driver, _ = make_driver()
    driver.submit(jobs)
    loop.run()
    assert sum(job.work_ms for job in jobs) > 1.5 * 16 * 20_000.0
    assert fraction_in_time(lookups) >= 0.999


@pytest.mark.parametrize("claimed, real, load", [(6, 2, 0.8), (1, 4, 0.6)])
def test_wrong_slots_in_the_host_list_are_corrected(claimed, real, load):
    """The host list states more or fewer slots than a target has. Relying on it would
    shed every second request, or refuse callers while slots idle."""
    loop = EventLoop()
    targets = make_targets(loop, 8, real, random.Random(1))
    for target in targets:
        target.target = replace(target.target, slots=claimed)
    coordinator = GroupCoordinator.from_config(
        CoordinatorSettings(), ConstantTargetWeights(), random.Random(2)
    )
    driver = CoordinatorDriver(loop, coordinator, targets)
    demand = [Demand(CustomerId("club"), load * 8 * real * 20.0, 1.0, 5_000.0)]
    jobs = make_jobs(demand, 40_000.0, exponential_work, random.Random(3))
    driver.submit(jobs)
    loop.run()
    assert [each.limit for each in coordinator.snapshot().targets] == [real] * 8
    assert sum(target.overruns for target in targets) < 0.01 * len(jobs)
    assert fraction_in_time(jobs[len(jobs) // 2 :]) == 1.0


def test_two_coordinators_at_once_share_the_slots():
    """The members have different views for a while, and two coordinators place requests
    on the same targets. Shed requests cost time, but no caller loses its answer."""
    loop = EventLoop()
    targets = make_targets(loop, 8, 2, random.Random(1))
    jobs = make_jobs(demands(), 20_000.0, exponential_work, random.Random(3))
    for number in range(2):
        coordinator = GroupCoordinator.from_config(
            CoordinatorSettings(), ConstantTargetWeights(), random.Random(2)
        )
        CoordinatorDriver(loop, coordinator, targets).submit(jobs[number::2])
    loop.run()
    assert fraction_in_time(jobs) >= 0.999
    assert sum(target.overruns for target in targets) < 0.02 * len(jobs)


def test_a_coordinator_overruns_targets_less_than_entries_choosing_alone():
    """Forty entries choose among targets of two slots, each by the few requests that it
    sent itself. Requests queue at one target while another idles."""
    by_entries = place_by_entries(0.8, 20.0, queues=True)
    by_coordinator = place_by_coordinator(0.8, 20.0, CoordinatorSettings())
    assert by_entries["overruns_per_request"] > 0.3
    assert by_coordinator["overruns_per_request"] < 0.01
    assert by_coordinator["mean_wait_ms"] < 0.3 * by_entries["mean_wait_ms"]


@pytest.mark.parametrize("idempotent", [True, False])
def test_requests_wait_for_a_good_slot_rather_than_use_a_low_weight_target(idempotent):
    """Half of the targets fail all work, and the floor keeps them in service. At low
    load a good slot is soon free, so no request needs to be lost on them."""
    demand = [replace(each, idempotent=idempotent) for each in demands(0.44)]
    jobs = make_jobs(demand, 30_000.0, exponential_work, random.Random(5))
    loop = EventLoop()
    targets = make_targets(loop, 8, 2, random.Random(1))
    fake_weights = FakeTargetWeights()
    for target in targets[:4]:
        target.fail_fraction = 1.0
        fake_weights.weights[target.target.target] = 0.1
    coordinator = GroupCoordinator.from_config(
        CoordinatorSettings(), fake_weights, random.Random(2)
    )
    CoordinatorDriver(loop, coordinator, targets).submit(jobs)
    loop.run()
    assert fraction_in_time(jobs) >= 0.999
