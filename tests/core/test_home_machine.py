"""Search orders of events that make a home lie or run a payment twice."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.home import (
    AttemptEnd,
    Cancel,
    Dispatch,
    Fail,
    Finish,
    Outcome,
    Refuse,
)
from crocusspindle.core.model import TargetState
from tests.core.home_fakes import FakeFitness, arrival, make_home, targets

PROVABLY_NOT_RUN = {AttemptEnd.SHED, AttemptEnd.UNSENT}
INDEX = st.integers(0, 1_000)


@dataclass
class Seen:
    """What became of one request as a target and its caller see it."""

    idempotent: bool
    started: bool = False
    ends: dict = field(default_factory=dict)

    def certainly_not_run(self):
        return all(end in PROVABLY_NOT_RUN for end in self.ends.values())


class HomeMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fitness = FakeFitness()
        self.home = make_home(3, slots=2, fitness=self.fitness, max_queued=4)
        self.live = {target.target for target in targets(3)}
        self.now_ms = 0.0
        self.next_request = 1
        self.open = {}
        self.running = {}
        self.cancelled = set()
        # With usual latencies learnt, late requests are hedged.
        for _ in range(64):
            self.arrive(True, "small", 500)
            self.now_ms += 10
            self.end(0, AttemptEnd.ANSWERED)

    def see(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self.see_dispatch(decision)
            elif isinstance(decision, Cancel):
                assert decision.attempt in self.running
                self.cancelled.add(decision.attempt)
            else:
                self.see_answer(decision)

    def see_dispatch(self, decision):
        seen = self.open[decision.request]
        assert decision.target in self.live
        assert not seen.started
        if not seen.idempotent:
            assert seen.certainly_not_run(), "a payment may run twice"
        seen.ends[decision.attempt] = None
        self.running[decision.attempt] = (decision.request, seen)

    def see_answer(self, decision):
        seen = self.open.pop(decision.request)
        if isinstance(decision, Finish):
            assert seen.ends[decision.attempt] is AttemptEnd.ANSWERED
        elif isinstance(decision, Refuse) or decision.outcome is Outcome.NOT_RUN:
            assert seen.certainly_not_run(), "not run is not true"
        else:
            assert isinstance(decision, Fail)

    @rule(
        idempotent=st.booleans(),
        customer=st.sampled_from(["small", "large"]),
        patience_ms=st.integers(1, 500),
    )
    def arrive(self, idempotent, customer, patience_ms):
        request = self.next_request
        self.next_request += 1
        self.open[request] = Seen(idempotent)
        new = arrival(
            request,
            customer,
            deadline_ms=self.now_ms + patience_ms,
            idempotent=idempotent,
            credential=customer.encode(),
        )
        self.see(self.home.arrive(new, self.now_ms))

    @rule(idempotent=st.booleans(), number=st.integers(2, 6))
    def arrive_together(self, idempotent, number):
        for _ in range(number):
            self.arrive(idempotent, "large", 400)

    @rule(index=INDEX, end=st.sampled_from(AttemptEnd))
    def end(self, index, end):
        if self.running:
            attempt = sorted(self.running)[index % len(self.running)]
            _, seen = self.running.pop(attempt)
            self.cancelled.discard(attempt)
            seen.ends[attempt] = end
            self.see(self.home.ended(attempt, end, 10.0, self.now_ms))

    @rule(index=INDEX)
    def answer_several(self, index):
        for step in range(3):
            self.end(index + step, AttemptEnd.ANSWERED)
            self.wait(5)

    @rule(index=INDEX, end=st.sampled_from(AttemptEnd))
    def start_and_end(self, index, end):
        self.start(index)
        self.end(index, end)

    @rule(index=INDEX)
    def start(self, index):
        if self.running:
            attempt = sorted(self.running)[index % len(self.running)]
            request, seen = self.running[attempt]
            if attempt not in self.cancelled and self.open.get(request) is seen:
                seen.started = True
            self.see(self.home.started(attempt, self.now_ms))

    @rule(index=INDEX)
    def withdraw(self, index):
        if self.open:
            request = sorted(self.open)[index % len(self.open)]
            self.see(self.home.withdraw(request, self.now_ms))

    @rule(customer=st.sampled_from([b"small", b"large"]))
    def revoke(self, customer):
        self.see(self.home.revoke(customer, self.now_ms))

    @rule(delay_ms=st.integers(1, 100))
    def wait(self, delay_ms):
        self.now_ms += delay_ms
        self.see(self.home.tick(self.now_ms))

    @rule(states=st.lists(st.sampled_from(["live", "leaving", "gone"]), max_size=3))
    def change_targets(self, states):
        listed = [
            targets(number + 1, 2, TargetState(state))[number]
            for number, state in enumerate(states)
            if state != "gone"
        ]
        self.live = {each.target for each in listed if each.state is TargetState.LIVE}
        self.see(self.home.set_targets(listed, self.now_ms))

    @rule(number=st.integers(0, 2), weight=st.sampled_from([0.0, 0.25, 1.0]))
    def change_fitness(self, number, weight):
        target = targets(3)[number].target
        self.fitness.weights[target] = weight
        if weight:
            self.fitness.trials.discard(target)
        else:
            self.fitness.trials.add(target)

    @invariant()
    def a_slot_is_held_by_what_runs(self):
        # Cancelled attempts free theirs a second later at the latest.
        surely_running = len(self.running) - len(self.cancelled)
        assert surely_running <= self.home.load().running <= len(self.running)

    def teardown(self):
        self.wait(10_000)
        for attempt in sorted(self.running):
            self.see(self.home.ended(attempt, AttemptEnd.SILENT, 1.0, self.now_ms))
        assert not self.open, "a caller never got its final answer"
        load = self.home.load()
        assert (load.queued, load.running) == (0, 0)


HomeMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestHome = HomeMachine.TestCase
