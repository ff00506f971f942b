"""Serve a customer without a keeper on a part of the published slack."""

from crocusspindle.core.view import View
from crocusspindle.ids import CustomerId, HostId


class QuotaReserve:
    """Spend a node's part of the published slack while a customer has no keeper.

    The load is the few seconds after a keeper fell silent. The bound over the fleet
    is what the keeper may admit plus the slack; half of the slack is divided among
    the members in whole requests a window. A node that has just started spends
    none for a window, since it has forgotten what it spent in its former life.
    """

    def __init__(self, host: HostId, window_ms: float, starts_at_ms: float) -> None:
        self._host = host
        self._window_ms = window_ms
        self._starts_at_ms = starts_at_ms
        self._spent_at_ms: dict[CustomerId, list[float]] = {}

    def spend(
        self, customer: CustomerId, slack: float, view: View | None, now_ms: float
    ) -> bool:
        """Return True if one request may pass on the slack of its customer."""
        if view is None or now_ms < self._starts_at_ms + self._window_ms:
            return False
        ranked = view.ranked(f"reserve {customer}")
        if self._host not in ranked:
            return False
        whole, rest = divmod(int(slack / 2), len(ranked))
        allowed = whole + (1 if ranked.index(self._host) < rest else 0)
        since_ms = now_ms - self._window_ms
        spent = [at for at in self._spent_at_ms.get(customer, ()) if at > since_ms]
        self._spent_at_ms[customer] = spent
        if len(spent) >= allowed:
            return False
        spent.append(now_ms)
        return True
