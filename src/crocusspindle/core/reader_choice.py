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
"""How long a reader is passed over after its first silence."""

SUSPECT_MAX_MS: Final = 32_000.0
"""Readers that stay silent are tried again ever more rarely. Tried every two seconds, a
few of them at the front would take more time than that to get past, and no node would
ever come to the one that answers."""

JITTER: Final = 0.25


@dataclass(slots=True)
class _Suspicion:
    incarnation: Incarnation
    length_ms: float
    until_ms: float


class ReaderChoice:
    """Rank the nodes that may be asked, by one node's own experience with them.

    The load is a fleet many of whose nodes cannot carry the duty, or are cut off. The
    harm prevented: all nodes asking all silent ones in turn, for ever.
    """

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._suspicions: dict[HostId, _Suspicion] = {}

    def candidates(self, known: Iterable[NodeAddress], now_ms: float) -> list[HostId]:
        """Return the nodes to ask, the best first.

        A node that was started anew since it was silent is tried at once.
        """
        may_be_asked = [node for node in known if self._may_ask(node, now_ms)]
        return by_capacity(READER_DUTY, may_be_asked)

    def _may_ask(self, node: NodeAddress, now_ms: float) -> bool:
        suspicion = self._suspicions.get(node.host)
        if suspicion is None or suspicion.until_ms <= now_ms:
            return True
        return suspicion.incarnation != node.incarnation

    def suspect(self, node: NodeAddress, now_ms: float) -> bool:
        """Pass a node over for a while; return False if it is passed over already."""
        known = self._suspicions.get(node.host)
        if known is None or known.incarnation != node.incarnation:
            known = _Suspicion(node.incarnation, SUSPECT_MS, -math.inf)
            self._suspicions[node.host] = known
        elif known.until_ms > now_ms:
            return False
        else:
            known.length_ms = min(SUSPECT_MAX_MS, known.length_ms * 2)
        # Nodes that were disappointed together must not come back together.
        spread = self._draw.uniform(1.0 - JITTER, 1.0 + JITTER)
        known.until_ms = now_ms + known.length_ms * spread
        return True

    def trust(self, host: HostId) -> None:
        """Forget what spoke against a node that has answered well."""
        self._suspicions.pop(host, None)
