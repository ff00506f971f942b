"""Search for event sequences after which an operation runs twice."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.operation_holders import holders
from crocusspindle.core.operation_records import (
    OperationName,
)
from crocusspindle.ids import CustomerId, OperationKey
from tests.core.ledger_simulation import KEY_EPOCH_MS, LIMITS, LedgerSimulation
from tests.core.small_fleet import Node, started_fleet

FAULTS = st.lists(
    st.sampled_from(["ok", "ok", "lost", "late", "pause", "release"]), max_size=4
)


ROUNDS = st.sampled_from([0, 1, 2, 6])


class OperationMachine(RuleBasedStateMachine):
    """Search for event sequences after which an operation runs twice."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = started_fleet(4, ledger_limits=LIMITS)
        self.simulation = LedgerSimulation(self.fleet)
        self.started_count = 4

    def pick(self, index: int) -> Node:
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    def run_rounds(self, rounds: int) -> None:
        for _ in range(rounds):
            self.fleet.round()
            any(self.fleet.propose(node) for node in self.fleet.awake())

    @rule(
        key=st.integers(0, 5),
        second=st.booleans(),
        stale=st.booleans(),
        faults=FAULTS,
        prefer_peer=st.booleans(),
    )
    def order(
        self, key: int, second: bool, stale: bool, faults: list[str], prefer_peer: bool
    ) -> None:
        """Send a request to a holder under the newest or the oldest view in use."""
        epoch = int(self.fleet.time_ms // KEY_EPOCH_MS)
        name = OperationName(CustomerId("club"), OperationKey(f"{key}.{epoch}"))
        views = sorted({peer.view.number for peer in self.fleet.awake() if peer.view})
        if not views:
            return
        newest_or_oldest = self.fleet.views[views[0 if stale else -1]]
        node = self.fleet.nodes.get(
            holders(name, newest_or_oldest.names)[-1 if second else 0]
        )
        if node is not None and node.awake:
            self.simulation.order(node, name, list(faults), prefer_peer)

    @rule(
        index=st.integers(0, 9),
        kind=st.sampled_from(["join", "crash", "restart", "leave"]),
        rounds=ROUNDS,
    )
    def change_members(self, index: int, kind: str, rounds: int) -> None:
        old = self.pick(index)
        if kind == "join" and len(self.fleet.nodes) > 7:
            return
        if kind == "leave":
            for peer in self.fleet.awake():
                peer.membership.record_leave(old.own_member.member)
        if kind in ("crash", "leave", "restart") and len(self.fleet.nodes) > 2:
            self.fleet.kill(old)
        if kind in ("join", "restart"):
            address = (
                old.own_member.peer_address
                if kind == "restart"
                else str(self.started_count)
            )
            node = self.fleet.start(f"n{self.started_count}", address)
            self.started_count += 1
            for peer in self.fleet.awake():
                peer.membership.record_join_request(node.own_member)
        self.run_rounds(rounds)

    @rule(rounds=ROUNDS)
    def platform_for_all(self, rounds: int) -> None:
        self.fleet.reaching_platform = set(self.fleet.nodes)
        self.run_rounds(rounds)

    @rule(
        reaching_platform=st.sets(st.integers(0, 7), max_size=2),
        rounds=st.just(6) | ROUNDS,
    )
    def platform_for_few(self, reaching_platform: set[int], rounds: int) -> None:
        self.fleet.reaching_platform = {
            self.pick(index).own_member.member for index in reaching_platform
        }
        self.run_rounds(rounds)

    @rule(rounds=st.just(6) | ROUNDS)
    def platform_for_nobody(self, rounds: int) -> None:
        self.fleet.reaching_platform.clear()
        self.run_rounds(rounds)

    @rule(group=st.sets(st.integers(0, 7), max_size=3), one_way=st.booleans())
    def cut(self, group: set[int], one_way: bool) -> None:
        names = {self.pick(index).own_member.member for index in group}
        self.fleet.blocked.clear()
        self.fleet.partition(names)
        if one_way:
            kept = {pair for pair in self.fleet.blocked if pair[0] in names}
            self.fleet.blocked = kept

    @rule(rounds=ROUNDS)
    def pass_time(self, rounds: int) -> None:
        self.run_rounds(rounds)

    @rule(index=st.integers(0, 9), rounds=ROUNDS)
    def stop_or_wake(self, index: int, rounds: int) -> None:
        node = self.pick(index)
        node.awake = not node.awake
        self.run_rounds(rounds)

    @rule(index=st.integers(0, 9))
    def a_late_message_arrives(self, index: int) -> None:
        if self.simulation.delayed_messages:
            self.simulation.delayed_messages.pop(
                index % len(self.simulation.delayed_messages)
            )()

    @rule(index=st.integers(0, 9))
    def a_paused_step_goes_on(self, index: int) -> None:
        if self.simulation.paused_steps:
            self.simulation.paused_steps.pop(
                index % len(self.simulation.paused_steps)
            )()

    @rule(index=st.none() | st.integers(0, 9))
    def flush(self, index: int | None) -> None:
        nodes = self.fleet.awake() if index is None else [self.pick(index)]
        for node in nodes:
            self.simulation.flush(node)
        self.simulation.publish_flush_marks()

    @rule()
    def load(self) -> None:
        for node in self.fleet.awake():
            self.simulation.load(node)

    @invariant()
    def nothing_ran_twice(self) -> None:
        assert all(count == 1 for count in self.simulation.runs.values())


TestOperations = OperationMachine.TestCase
TestOperations.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
