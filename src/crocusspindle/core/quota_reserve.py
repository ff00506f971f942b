"""Serve a customer that has no keeper from the slack of its quota."""

from crocusspindle.core.view import View
from crocusspindle.ids import CustomerId, HostId


class QuotaReserve:
    """Spend this node's fraction of a quota's slack while there is no keeper.

    This covers the few seconds after a keeper became silent. The published bound over
    the fleet is the keeper's quota plus the slack; half of the slack is divided among
    the members in whole requests per window. A restarted node spends none for a window,
    since its previous process may have spent its fraction already.
    """

    def __init__(self, host: HostId, window_ms: float, starts_at_ms: float) -> None:
        self._host = host
        self._window_ms = window_ms
        self._starts_at_ms = starts_at_ms
        self._spent_at_ms: dict[CustomerId, list[float]] = {}

    def spend(
        self, customer: CustomerId, slack: float, view: View | None, now_ms: float
    ) -> bool:
        """Spend one request of the customer's slack; return False if none is left."""
        if view is None or now_ms < self._starts_at_ms + self._window_ms:
            return False
        ranked = view.ranked(f"reserve {customer}")
        if self._host not in ranked:
            return False
        quotient, remainder = divmod(int(slack / 2), len(ranked))
        allowed = quotient + (1 if ranked.index(self._host) < remainder else 0)
        since_ms = now_ms - self._window_ms
        spent = [at for at in self._spent_at_ms.get(customer, ()) if at > since_ms]
        self._spent_at_ms[customer] = spent
        if len(spent) >= allowed:
            return False
        spent.append(now_ms)
        return True
