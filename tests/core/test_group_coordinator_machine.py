"""Search for event orders with a wrong outcome or a payment that runs twice."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.group_coordinator import (
    AttemptEnd,
    Cancel,
    Dispatch,
    Fail,
    Finish,
    Outcome,
    Refuse,
)
from crocusspindle.core.model import TargetState
from tests.core.coordinator_fakes import (
    FakeTargetWeights,
    arrival,
    make_coordinator,
    targets,
)

PROVABLY_NOT_RUN = {AttemptEnd.SHED, AttemptEnd.UNSENT}
INDEX = st.integers(0, 1_000)


@dataclass
class ObservedRequest:
    """State of one request as its targets and its caller observe it."""

    idempotent: bool
    started: bool = False
    ends: dict = field(default_factory=dict)

    def certainly_not_run(self):
        return all(end in PROVABLY_NOT_RUN for end in self.ends.values())


class CoordinatorMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fake_weights = FakeTargetWeights()
        self.coordinator = make_coordinator(
            3, slots=2, fake_weights=self.fake_weights, max_queued=4
        )
        self.live = {target.target for target in targets(3)}
        self.now_ms = 0.0
        self.next_request = 1
        self.open = {}
        self.running = {}
        self.cancelled = set()
        # Learn typical latencies, so that late requests are hedged.
        for _ in range(64):
            self.arrive(True, "small", 500)
            self.now_ms += 10
            self.end(0, AttemptEnd.ANSWERED)

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self.apply_dispatch(decision)
            elif isinstance(decision, Cancel):
                assert decision.attempt in self.running
                self.cancelled.add(decision.attempt)
            else:
                self.apply_answer(decision)

    def apply_dispatch(self, decision):
        observed = self.open[decision.request]
        assert decision.target in self.live
        assert not observed.started
        if not observed.idempotent:
            assert observed.certainly_not_run(), "a payment may run twice"
        observed.ends[decision.attempt] = None
        self.running[decision.attempt] = (decision.request, observed)

    def apply_answer(self, decision):
        observed = self.open.pop(decision.request)
        if isinstance(decision, Finish):
            assert observed.ends[decision.attempt] is AttemptEnd.ANSWERED
        elif isinstance(decision, Refuse) or decision.outcome is Outcome.NOT_RUN:
            assert observed.certainly_not_run(), "the outcome NOT_RUN may be wrong"
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
        self.open[request] = ObservedRequest(idempotent)
        new = arrival(
            request,
            customer,
            deadline_ms=self.now_ms + patience_ms,
            idempotent=idempotent,
            credential=customer.encode(),
        )
        self.apply(self.coordinator.arrive(new, self.now_ms))

    @rule(idempotent=st.booleans(), number=st.integers(2, 6))
    def arrive_together(self, idempotent, number):
        for _ in range(number):
            self.arrive(idempotent, "large", 400)

    @rule(index=INDEX, end=st.sampled_from(AttemptEnd))
    def end(self, index, end):
        if self.running:
            attempt = sorted(self.running)[index % len(self.running)]
            _, observed = self.running.pop(attempt)
            self.cancelled.discard(attempt)
            observed.ends[attempt] = end
            self.apply(self.coordinator.ended(attempt, end, 10.0, self.now_ms))

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
            request, observed = self.running[attempt]
            if attempt not in self.cancelled and self.open.get(request) is observed:
                observed.started = True
            self.apply(self.coordinator.started(attempt, self.now_ms))

    @rule(index=INDEX)
    def withdraw(self, index):
        if self.open:
            request = sorted(self.open)[index % len(self.open)]
            self.apply(self.coordinator.withdraw(request, self.now_ms))

    @rule(customer=st.sampled_from([b"small", b"large"]))
    def revoke(self, customer):
        self.apply(self.coordinator.revoke(customer, self.now_ms))

    @rule(delay_ms=st.integers(1, 100))
    def wait(self, delay_ms):
        self.now_ms += delay_ms
        self.apply(self.coordinator.tick(self.now_ms))

    @rule(states=st.lists(st.sampled_from(["live", "leaving", "gone"]), max_size=3))
    def change_targets(self, states):
        listed = [
            targets(number + 1, 2, TargetState(state))[number]
            for number, state in enumerate(states)
            if state != "gone"
        ]
        self.live = {each.target for each in listed if each.state is TargetState.LIVE}
        self.apply(self.coordinator.set_targets(listed, self.now_ms))

    @rule(number=st.integers(0, 2), weight=st.sampled_from([0.0, 0.25, 1.0]))
    def change_weight(self, number, weight):
        target = targets(3)[number].target
        self.fake_weights.weights[target] = weight
        if weight:
            self.fake_weights.trials.discard(target)
        else:
            self.fake_weights.trials.add(target)

    @invariant()
    def every_running_attempt_holds_a_slot(self):
        # Cancelled attempts free their slots within a second.
        surely_running = len(self.running) - len(self.cancelled)
        assert surely_running <= self.coordinator.load().running <= len(self.running)

    def teardown(self):
        self.wait(10_000)
        for attempt in sorted(self.running):
            self.apply(
                self.coordinator.ended(attempt, AttemptEnd.SILENT, 1.0, self.now_ms)
            )
        assert not self.open, "a request got no final answer"
        load = self.coordinator.load()
        assert (load.queued, load.running) == (0, 0)


CoordinatorMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestCoordinator = CoordinatorMachine.TestCase
