"""Choose the reader that a node pings; skip silent or outdated ones for a while."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.view import NodeAddress, rank_by_capacity
from crocusspindle.ids import HostId, Incarnation

READER_ROLE: Final = b"reader"
SUSPECT_MS: Final = 2_000.0
SUSPECT_MAX_MS: Final = 32_000.0
"""Readers that stay silent while others respond are retried at growing intervals. With
a retry every two seconds, pinging a few silent ones that rank first would take longer
than that, and no node would reach the one that responds."""

JITTER: Final = 0.25


@dataclass(slots=True)
class _Suspicion:
    """Hold since when a process is skipped, and until when at the latest."""

    incarnation: Incarnation
    length_ms: float
    since_ms: float
    until_ms: float


class ReaderChoice:
    """Rank the candidate readers by this node's own experience with them.

    Many nodes of a fleet may be too small for the role of the reader, or partitioned.
    Without suspicions, all nodes would ping all the silent ones in turn, for ever.

    A node that receives no response may itself be partitioned. Until one arrives, it
    tries each reader once and then all of them again, except those still skipped since
    before its last response. So it finds the reader that the other nodes use as soon as
    its network is back.
    """

    def __init__(self, own: HostId, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._suspicions: dict[HostId, _Suspicion] = {}
        self._last_response_ms = -math.inf

    def candidates(self, nodes: Iterable[NodeAddress], now_ms: float) -> list[HostId]:
        """Return the nodes to ping, the best first; this node may be among them.

        A node that has restarted since it was silent is tried at once.
        """
        eligible = [node for node in nodes if self._is_candidate(node, now_ms)]
        if all(node.host == self._own for node in eligible):
            self._retry_suspects()
        return rank_by_capacity(READER_ROLE, eligible)

    def _is_candidate(self, node: NodeAddress, now_ms: float) -> bool:
        suspicion = self._suspicions.get(node.host)
        if suspicion is None or suspicion.incarnation != node.incarnation:
            return True
        if suspicion.since_ms > self._last_response_ms:
            return False
        return suspicion.length_ms == SUSPECT_MS or suspicion.until_ms <= now_ms

    def _retry_suspects(self) -> None:
        self._suspicions = {
            host: suspicion
            for host, suspicion in self._suspicions.items()
            if suspicion.since_ms <= self._last_response_ms
        }

    def suspect(self, node: NodeAddress, now_ms: float) -> bool:
        """Skip a node for a while; return False if it is skipped already.

        The node was silent, lost the store or has old confirmations.
        """
        if not self._is_candidate(node, now_ms):
            return False
        length_ms = SUSPECT_MS
        previous = self._suspicions.get(node.host)
        if previous is not None and previous.incarnation == node.incarnation:
            length_ms = min(SUSPECT_MAX_MS, previous.length_ms * 2)
        # Nodes that met the same silent reader together must not retry it together.
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        until_ms = now_ms + length_ms * spread
        suspicion = _Suspicion(node.incarnation, length_ms, now_ms, until_ms)
        self._suspicions[node.host] = suspicion
        return True

    def drop_suspicion(self, host: HostId) -> None:
        """Try a node again."""
        self._suspicions.pop(host, None)

    def drop_suspicions(self) -> None:
        """Try all nodes again: those that had lost the store may reach it now."""
        self._suspicions.clear()

    def record_response(self, now_ms: float) -> None:
        """Record any response, which shows that this node is not partitioned."""
        self._last_response_ms = now_ms

    def trust(self, host: HostId, now_ms: float) -> None:
        """Drop the suspicion of a node that responded with recent confirmations."""
        self.drop_suspicion(host)
        self.record_response(now_ms)
