"""Hold a node's retry accounts, and the retry budgets of the services it places.

Hedges count as retries.
"""

import math
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.retry_account import RetryAccount
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.ids import ServiceId
from crocusspindle.log_lines import Logger, log_state_change

MIN_LOG_INTERVAL_MS: Final = 1_000.0


class RetryAccounts:
    """Hold this node's account of each service that it sends requests to."""

    def __init__(self, bounds: LiveBounds, process: int) -> None:
        self._bounds = bounds
        self._process = process
        self._began_ms = now_ms()
        self._accounts: dict[ServiceId, RetryAccount] = {}

    def account(self, service: ServiceId) -> RetryAccount:
        """Return the account of a service."""
        account = self._accounts.get(service)
        if account is None:
            bounds = self._bounds.current
            account = RetryAccount(
                bounds.budget_ratio,
                bounds.budget_extra,
                bounds.budget_window_ms,
                self._began_ms,
                self._process,
            )
            self._accounts[service] = account
        return account


class RetryBudgets:
    """Hold the budget of each service that this node places."""

    def __init__(self, bounds: LiveBounds) -> None:
        self._bounds = bounds
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._logged_ms: dict[ServiceId, float] = {}
        self._log = Logger("placing")

    def budget(self, service: ServiceId) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds.current
            # The fixed part belongs to the hosts' accounts.
            budget = RetryBudget(bounds.budget_ratio, 0.0, bounds.budget_window_ms)
            self._budgets[service] = budget
        return budget

    def log_bound(self, service: ServiceId) -> None:
        """Log the state of a service's retry budget, at most once a second.

        Each refusal has its own log line at the node where the request entered.
        """
        at_ms = now_ms()
        if at_ms < self._logged_ms.get(service, -math.inf) + MIN_LOG_INTERVAL_MS:
            return
        self._logged_ms[service] = at_ms
        budget = self.budget(service)
        used, allowed = budget.state(at_ms)
        log_state_change(
            self._log,
            "repeats at their bound",
            service=service,
            used=used,
            allowed=round(allowed),
            processes=budget.reporting_processes,
            reserved_for=budget.highest_priority(at_ms),
        )
