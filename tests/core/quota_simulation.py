"""Simulate keepers of one customer whose hosts are cut off, rejoin and restart."""

import random
from collections.abc import Iterator

from crocusspindle.core.quota_keeper import QuotaKeeper
from crocusspindle.core.spend_result import NotKept, SpendResult
from crocusspindle.core.token_queue import WaitingSpend
from crocusspindle.core.view import next_view
from crocusspindle.ids import HostId
from tests.core.quota_fixtures import CLUB, RULE, WINDOW_MS, keeper, new_keeper, node

STEP_MS = 20.0
STEPS = 1_500


class QuotaSimulation:
    """Hold four hosts, each with its own delay until it receives a view."""

    names = ("a", "b", "c", "d")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._incarnations = dict.fromkeys(self.names, 1)
        self._nodes = {HostId(name): node(name) for name in self.names}
        self._view = next_view(None, self._nodes)
        self.keepers: dict[str, QuotaKeeper] = {
            name: keeper(name, self._view, 0.0) for name in self.names
        }
        self._cut: dict[str, float] = {}

    def steps(self) -> Iterator[float]:
        """Yield each step's time, after the changes of hosts and views."""
        for step in range(1, STEPS):
            now_ms = step * STEP_MS
            self._change(now_ms)
            yield now_ms

    def _change(self, now_ms: float) -> None:
        rng = self._rng
        if rng.random() < 0.004:
            self._cut[rng.choice(self.names)] = now_ms + rng.uniform(500, 8_000)
        if rng.random() < 0.004:
            name = rng.choice(self.names)
            self._incarnations[name] += 1
            restarted = node(name, str(self._incarnations[name]))
            self._nodes[HostId(name)] = restarted
            self.keepers[name] = new_keeper(restarted, now_ms)
        self._cut = {n: until for n, until in self._cut.items() if until > now_ms}
        reachable = {h: n for h, n in self._nodes.items() if h not in self._cut}
        member_nodes = {entry.node.host: entry.node for entry in self._view.entries}
        if member_nodes != reachable and rng.random() < 0.1 and reachable:
            expired = set().union(
                *(self.keepers[h].expired_entry_keys(now_ms) for h in reachable)
            )
            self._view = next_view(self._view, reachable, expired)
        for name in self.names:
            if name not in self._cut and rng.random() < 0.3:
                self.keepers[name].set_view(self._view, now_ms, now_ms)

    def spend(
        self, name: str, now_ms: float, wait_limit_ms: float = 0.0, priority: int = 9
    ) -> SpendResult | WaitingSpend:
        """Spend a token at a host, which collects releases if it needs them."""
        owner = self.keepers[name]
        result = owner.spend(CLUB, wait_limit_ms, now_ms, priority)
        if isinstance(result, NotKept) and owner.ranks_first(CLUB):
            self._collect_releases(name, now_ms)
            result = owner.spend(CLUB, wait_limit_ms, now_ms, priority)
        return result

    def _collect_releases(self, name: str, now_ms: float) -> None:
        number = self.keepers[name]._view.number
        for pending in self.keepers[name].pending_releases(CLUB, now_ms):
            host = pending.node.host
            if host in self._cut or name in self._cut:
                continue
            unspent_ms = self.keepers[host].unspent_ms(CLUB, now_ms)
            tokens = self.keepers[host].release(CLUB, number, now_ms)
            self.keepers[name].record_release(
                CLUB, pending.key, tokens, now_ms, unspent_ms
            )


def assert_within_bound(run_at: list[float]) -> None:
    """Check that no window holds more requests than the customer's bound."""
    bound = RULE.burst + RULE.rate_per_s * WINDOW_MS / 1e3
    for i, since_ms in enumerate(run_at):
        within = [at for at in run_at[i:] if at <= since_ms + WINDOW_MS]
        assert len(within) <= bound + 1
