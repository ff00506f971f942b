"""Choose whom a node asks for what is newest, and whom it passes over for a while."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.view import NodeAddress, by_capacity
from crocusspindle.ids import HostId, Incarnation

READER_DUTY: Final = b"reader"
SUSPECT_MS: Final = 2_000.0
SUSPECT_MAX_MS: Final = 32_000.0
"""Readers that stay silent while others answer are tried ever more rarely. Tried every
two seconds, a few of them at the front would take more time than that to get past, and
no node would ever come to the one that answers."""

JITTER: Final = 0.25


@dataclass(slots=True)
class _Suspicion:
    """Hold since when a process is passed over, and for how long at the most."""

    incarnation: Incarnation
    length_ms: float
    since_ms: float
    until_ms: float


class ReaderChoice:
    """Rank the nodes that may be asked, by one node's own experience with them.

    The load is a fleet many of whose nodes cannot carry the duty, or are cut off. The
    harm prevented: all nodes asking all silent ones in turn, for ever.

    A node that hears nobody may itself be cut off. Until someone answers, it goes
    through all of them once; then it tries those again that were silent for the first
    time, so that it finds the reader that the others ask as soon as its way is back.
    """

    def __init__(self, own: HostId, draw: random.Random) -> None:
        self._own = own
        self._draw = draw
        self._suspicions: dict[HostId, _Suspicion] = {}
        self._answered_ms = -math.inf

    def candidates(self, known: Iterable[NodeAddress], now_ms: float) -> list[HostId]:
        """Return the nodes to ask, the best first.

        A node that was started anew since it was silent is tried at once.
        """
        may_be_asked = [node for node in known if self._may_ask(node, now_ms)]
        if all(node.host == self._own for node in may_be_asked):
            self._begin_another_round()
        return by_capacity(READER_DUTY, may_be_asked)

    def _may_ask(self, node: NodeAddress, now_ms: float) -> bool:
        suspicion = self._suspicions.get(node.host)
        if suspicion is None or suspicion.incarnation != node.incarnation:
            return True
        if suspicion.since_ms > self._answered_ms:
            return False
        return suspicion.length_ms == SUSPECT_MS or suspicion.until_ms <= now_ms

    def _begin_another_round(self) -> None:
        self._suspicions = {
            host: suspicion
            for host, suspicion in self._suspicions.items()
            if suspicion.since_ms <= self._answered_ms
        }

    def suspect(self, node: NodeAddress, now_ms: float) -> bool:
        """Pass a node over for a while; return False if it is passed over already."""
        if not self._may_ask(node, now_ms):
            return False
        length_ms = SUSPECT_MS
        known = self._suspicions.get(node.host)
        if known is not None and known.incarnation == node.incarnation:
            length_ms = min(SUSPECT_MAX_MS, known.length_ms * 2)
        # Nodes that were disappointed together must not come back together.
        spread = self._draw.uniform(1.0 - JITTER, 1.0 + JITTER)
        until_ms = now_ms + length_ms * spread
        suspicion = _Suspicion(node.incarnation, length_ms, now_ms, until_ms)
        self._suspicions[node.host] = suspicion
        return True

    def heard(self, now_ms: float) -> None:
        """Note that a node answered, whatever it knows: this one is not cut off."""
        self._answered_ms = now_ms

    def trust(self, host: HostId, now_ms: float) -> None:
        """Forget what spoke against a node that has answered well."""
        self._suspicions.pop(host, None)
        self.heard(now_ms)
