"""Divide the rates of limited targets among placers that may not hear each other.

Each placer counts its own requests to a limited target and those that the others
report. One that is not heard may send requests that are not counted.
"""

import math
from collections.abc import Sequence
from typing import Final

from crocusspindle.ids import HostId

CONTACT_INTERVAL_MS: Final = 150.0
"""Interval at which a placer contacts the others while it applies a limit."""

CONTACT_MS: Final = 600.0
"""Time for which a placer that has responded counts as heard: several contacts may be
lost."""

PLACING_MS: Final = 10_000.0
"""Time after its last placement request for which a host counts as placing."""


class PlacerContacts:
    """Track which other placers of one service have responded to this host.

    Only contacts since this host began to place count. The requests that it gets then
    may mean that some hosts have just lost the placer that it heard before.
    """

    def __init__(self) -> None:
        self._placed_ms = -math.inf
        self._began_ms = math.inf
        self._contacted_ms = -math.inf
        self._heard_ms: dict[HostId, float] = {}

    def record_request(self, now_ms: float) -> bool:
        """Record a placement request; return True if this host begins to place."""
        begins = not self._is_placing(now_ms)
        if begins:
            self._began_ms = now_ms
            self._contacted_ms = -math.inf
            self._heard_ms.clear()
        self._placed_ms = now_ms
        return begins

    def _is_placing(self, now_ms: float) -> bool:
        return now_ms - self._placed_ms < PLACING_MS

    def contact_if_due(self, now_ms: float) -> bool:
        """Return True if the others are to be contacted now."""
        if (
            not self._is_placing(now_ms)
            or now_ms - self._contacted_ms < CONTACT_INTERVAL_MS
        ):
            return False
        self._contacted_ms = now_ms
        return True

    def record_response(self, placer: HostId, sent_ms: float) -> None:
        """Record that a placer has responded to a contact sent at a time."""
        if sent_ms >= self._began_ms:
            self._heard_ms[placer] = max(sent_ms, self._heard_ms.get(placer, sent_ms))

    def rate_share(
        self, host: HostId, placers: Sequence[HostId], now_ms: float
    ) -> float:
        """Return the share of each target's rate that this host may use.

        ``placers`` are the hosts that may place, by this host's view. The shares of
        placers that do not hear each other sum up to 1 at most; placers that do count
        each other's requests. A host that is not among the placers gets no share.
        """
        if not self._is_placing(now_ms):
            return 1.0
        if host not in placers:
            return 0.0
        since_ms = now_ms - CONTACT_MS
        unheard = sum(
            placer != host and self._heard_ms.get(placer, -math.inf) < since_ms
            for placer in placers
        )
        return 1.0 / (1 + unheard)
