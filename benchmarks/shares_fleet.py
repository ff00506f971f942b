"""Run the share ledgers of one fleet in virtual time; a loan costs a round trip."""

import heapq
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random
from typing import Final

from crocusspindle.core.holders import HolderCandidate
from crocusspindle.core.loans import (
    MAX_GATHERS,
    Borrow,
    Loan,
    OverRate,
    SpendResult,
    Spent,
)
from crocusspindle.core.local_shares import ShareSettings
from crocusspindle.core.model import Customer
from crocusspindle.core.shares import TOP_UP_MS, ShareLedger
from crocusspindle.ids import CustomerId, DomainId, MemberId, ViewNumber

HOP_MS: Final = 1.5
TIMEOUT_MS: Final = 100.0
WARM_UP_MS: Final = 60_000.0
NODES: Final = 40
DOMAINS: Final = 4
CUSTOMERS: Final = {
    "tiny": Customer(CustomerId("tiny"), 0.2, 1),
    "small": Customer(CustomerId("small"), 1.0, 2),
    "medium": Customer(CustomerId("medium"), 20.0, 40),
    "large": Customer(CustomerId("large"), 500.0, 1000),
}
REQUESTS: Final = 4_000
DETECTION_MS: Final = 5_000.0


class Way(Enum):
    """Name a way to enforce a customer's rate over the fleet."""

    SINGLE_BUCKET = "one home"
    FRACTIONS = "fixed fractions"
    SHARES = "conserved shares"


class Arrivals(Enum):
    """Name an arrival process of requests."""

    POISSON = "poisson"
    BURSTY = "bursty"


class Loss(Enum):
    """Name what happens after the first holder of shares is killed."""

    REPLACED = "replaced by a new view"
    FROZEN = "outage: view frozen"
    TAKEN_OVER = "outage: taken over"


@dataclass(frozen=True)
class Case:
    """Describe one run."""

    way: Way
    customer: str
    entries: int
    load: float
    skewed: bool = False
    arrivals: Arrivals = Arrivals.POISSON
    at_holders: bool = False
    requests: int = REQUESTS
    seed: int = 1
    lose: Loss | None = None


@dataclass
class Result:
    """Count the results of one customer.

    ``within`` counts the requests that one ideal bucket of the whole rate and burst
    admits; ``wrongly_refused`` those of them that were refused, less those of the same
    instant that were admitted in their place.
    """

    within: int = 0
    balance: dict[float, int] = field(default_factory=dict)
    messages: int = 0
    requests: int = 0
    spent: int = 0
    slowest_ms: float = 0.0

    def count(self, arrived_ms: float, is_within: bool, is_spent: bool) -> None:
        """Count one request by its arrival time."""
        self.spent += is_spent
        if is_within != is_spent:
            change = is_within - is_spent
            self.balance[arrived_ms] = self.balance.get(arrived_ms, 0) + change

    @property
    def wrongly_refused(self) -> int:
        """Return the number of requests refused though within the rate."""
        return sum(max(0, each) for each in self.balance.values())

    @property
    def net_per_mille(self) -> float:
        """Return how many more requests per 1,000 one ideal bucket admits."""
        return 1000.0 * (self.within - self.spent) / max(1, self.within)

    @property
    def last_wrongly_refused_ms(self) -> float:
        """Return when the last request refused though within the rate arrived."""
        wrong = [at_ms for at_ms, each in self.balance.items() if each > 0]
        return max(wrong, default=0.0)

    @property
    def wrongly_refused_per_mille(self) -> float:
        """Return the refusals within rate per 1,000 requests within rate."""
        return 1000.0 * self.wrongly_refused / max(1, self.within)


class IdealBucket:
    """Admit what a single token bucket for all requests admits."""

    def __init__(self, customer: Customer, fraction: float = 1.0) -> None:
        self._rate_per_ms = fraction * customer.rate_per_s / 1000.0
        self._burst = fraction * customer.burst
        self._tokens = self._burst
        self._at_ms = 0.0

    def admits(self, now_ms: float) -> bool:
        """Consume a token; return False if there is none."""
        refilled = self._rate_per_ms * (now_ms - self._at_ms)
        self._tokens = min(self._burst, self._tokens + refilled)
        self._at_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def arrivals(case: Case, rng: Random) -> Iterator[tuple[float, int]]:
    """Return the time and the entry of each request."""
    customer = CUSTOMERS[case.customer]
    weights = [1.0 / (1 + number) ** (1.5 * case.skewed) for number in range(NODES)]
    entries = range(case.entries)
    rate_per_ms = customer.rate_per_s * case.load / 1000.0
    size = 1 if case.arrivals is Arrivals.POISSON else max(1, customer.burst // 2)
    now_ms = WARM_UP_MS
    sent = 0
    while sent < case.requests:
        now_ms += rng.expovariate(rate_per_ms / size)
        for _ in range(size):
            (entry,) = rng.choices(entries, weights[: case.entries])
            yield now_ms, entry
            sent += 1


@dataclass(frozen=True)
class LoanRequest:
    """Hold a request for a loan of tokens, on behalf of one request of a customer."""

    entry: MemberId
    lender: MemberId
    missing: float
    sent_ms: float
    arrived_ms: float
    is_within: bool
    gather: bool = False
    gathered: int = 0
    attempts: int = 1


class Fleet:
    """Hold the ledgers of 40 nodes and deliver their loan requests."""

    def __init__(self, case: Case) -> None:
        self.customer = CUSTOMERS[case.customer]
        self.members = [
            HolderCandidate(MemberId(f"n{number}"), DomainId(f"d{number % DOMAINS}"))
            for number in range(NODES)
        ]
        self.ledgers: dict[MemberId, ShareLedger] = {}
        for member in self.members:
            ledger = ShareLedger.from_config(ShareSettings(), member.member)
            ledger.set_view(ViewNumber(1), self.members, 0.0)
            ledger.activate(ViewNumber(1), 0.0)
            ledger.set_limit(self.customer, 0.0)
            self.ledgers[member.member] = ledger
        self.holders = self.ledgers[self.members[0].member].holders(self.customer)
        self.entries = self._entries(case.at_holders)
        self.killed_members: set[MemberId] = set()
        self.result = Result()
        self._ideal = IdealBucket(self.customer)
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0

    def _entries(self, at_holders: bool) -> list[MemberId]:
        """Return the entries in the order in which the customer uses them.

        Callers that query which entries to use reach the holders first. Others use any
        entry; their worst case is one that holds no share.
        """
        others = [each.member for each in self.members]
        others = [each for each in others if each not in self.holders]
        if at_holders:
            return [*self.holders, *others]
        return [*others, *self.holders]

    def kill_first_holder(self, loss: Loss, now_ms: float) -> None:
        """Kill the first holder; callers use the others from now on."""
        killed = self.holders[0]
        self.killed_members.add(killed)
        self.entries.remove(killed)
        if loss is Loss.REPLACED:
            self.call_at(now_ms + DETECTION_MS, self._replace)
        elif loss is Loss.TAKEN_OVER:
            self.call_at(now_ms + DETECTION_MS, self._take_over)

    def _replace(self, now_ms: float) -> None:
        kept = [each for each in self.members if each.member not in self.killed_members]
        for ledger in self.ledgers.values():
            ledger.set_view(ViewNumber(2), kept, now_ms)
            ledger.activate(ViewNumber(2), now_ms)

    def _take_over(self, now_ms: float) -> None:
        for ledger in self.ledgers.values():
            for killed in self.killed_members:
                ledger.take_over_from(killed, now_ms)

    def arrive(self, now_ms: float, entry: MemberId) -> None:
        """Process the arrival of a request at an entry."""
        self.run_until(now_ms)
        self.result.requests += 1
        is_within = self._ideal.admits(now_ms)
        self.result.within += is_within
        loan_request = LoanRequest(entry, entry, 0.0, now_ms, now_ms, is_within)
        self._spend(now_ms, loan_request)

    def _spend(self, now_ms: float, loan_request: LoanRequest) -> None:
        ledger = self.ledgers[loan_request.entry]
        answer = ledger.spend(self.customer.customer, math.inf, now_ms)
        self._settle(now_ms, loan_request, answer)

    def _settle(
        self, now_ms: float, loan_request: LoanRequest, answer: SpendResult
    ) -> None:
        if isinstance(answer, Borrow):
            lender = answer.holders[0]
            sent_request = replace(
                loan_request,
                gathered=0,
                lender=lender,
                missing=answer.missing,
                sent_ms=now_ms,
                gather=answer.gather,
            )
            self.result.messages += 1
            self._send(now_ms, sent_request)
        elif isinstance(answer, Spent):
            self.result.count(loan_request.arrived_ms, loan_request.is_within, True)
            self._top_up(now_ms, loan_request.entry)
            latency_ms = now_ms - loan_request.arrived_ms
            self.result.slowest_ms = max(self.result.slowest_ms, latency_ms)
        elif isinstance(answer, OverRate) and answer.waits(
            loan_request.arrived_ms, loan_request.attempts
        ):
            retried = replace(loan_request, attempts=loan_request.attempts + 1)
            due_ms = max(now_ms, answer.retry_at_ms)
            self.call_at(due_ms, lambda at_ms: self._spend(at_ms, retried))
        else:
            self.result.count(loan_request.arrived_ms, loan_request.is_within, False)

    def _send(self, now_ms: float, sent_request: LoanRequest) -> None:
        if sent_request.lender in self.killed_members:
            self.call_at(
                now_ms + TIMEOUT_MS, lambda at_ms: self._time_out(at_ms, sent_request)
            )
        else:
            self.call_at(now_ms + HOP_MS, lambda at_ms: self._lend(at_ms, sent_request))

    def _lend(self, now_ms: float, sent_request: LoanRequest) -> None:
        name = self.customer.customer
        lender = self.ledgers[sent_request.lender]
        loan = lender.lend(name, sent_request.missing, math.inf, now_ms)
        if (
            loan.amount == 0.0
            and sent_request.gather
            and sent_request.gathered < MAX_GATHERS
        ):
            borrow = lender.gather(name, sent_request.missing, now_ms)
            if borrow is not None:
                self._gather(now_ms, sent_request, borrow)
                return
        self.call_at(
            now_ms + HOP_MS, lambda at_ms: self._credit(at_ms, sent_request, loan)
        )
        if sent_request.gather:
            self._top_up_later(now_ms, sent_request.lender)

    def _gather(self, now_ms: float, sent_request: LoanRequest, borrow: Borrow) -> None:
        """Let the lender borrow from another holder, then decide on the loan again."""
        name = self.customer.customer
        source = borrow.holders[0]
        self.result.messages += 1

        def lend(at_ms: float) -> None:
            loan = self.ledgers[source].lend(name, borrow.missing, math.inf, at_ms)
            self.call_at(at_ms + HOP_MS, lambda returned_ms: credit(returned_ms, loan))

        def credit(returned_ms: float, loan: Loan) -> None:
            ledger = self.ledgers[sent_request.lender]
            ledger.credit_loan(name, loan, source, now_ms, returned_ms)
            self._lend(
                returned_ms, replace(sent_request, gathered=sent_request.gathered + 1)
            )

        def lose(returned_ms: float) -> None:
            self.ledgers[sent_request.lender].record_timeout(name, source, returned_ms)
            self._lend(
                returned_ms, replace(sent_request, gathered=sent_request.gathered + 1)
            )

        if source in self.killed_members:
            self.call_at(now_ms + TIMEOUT_MS, lose)
        else:
            self.call_at(now_ms + HOP_MS, lend)

    def _top_up_later(self, now_ms: float, holder: MemberId) -> None:
        self.call_at(now_ms + TOP_UP_MS, lambda at_ms: self._top_up(at_ms, holder))

    def _top_up(self, now_ms: float, holder: MemberId) -> None:
        answer = self.ledgers[holder].top_up(self.customer.customer, now_ms)
        if answer is None or answer.holders[0] in self.killed_members:
            return
        self.result.messages += 1
        lender = answer.holders[0]
        name = self.customer.customer

        def lend(at_ms: float) -> None:
            loan = self.ledgers[lender].lend(name, answer.missing, math.inf, at_ms)
            self.call_at(
                at_ms + HOP_MS,
                lambda returned_ms: credit_loan(returned_ms, loan),
            )

        def credit_loan(returned_ms: float, loan: Loan) -> None:
            self.ledgers[holder].credit_loan(name, loan, lender, now_ms, returned_ms)
            self._top_up_later(returned_ms, holder)

        self.call_at(now_ms + HOP_MS, lend)

    def _credit(self, now_ms: float, sent_request: LoanRequest, loan: Loan) -> None:
        name = self.customer.customer
        answer = self.ledgers[sent_request.entry].credit_and_spend(
            name, loan, sent_request.lender, sent_request.sent_ms, now_ms
        )
        self._settle(now_ms, sent_request, answer)

    def _time_out(self, now_ms: float, sent_request: LoanRequest) -> None:
        name = self.customer.customer
        ledger = self.ledgers[sent_request.entry]
        answer = ledger.record_timeout_and_spend(
            name, sent_request.lender, sent_request.sent_ms, now_ms
        )
        self._settle(now_ms, sent_request, answer)

    def call_at(self, at_ms: float, action: Callable[[float], None]) -> None:
        """Schedule an action at a time."""
        self._number += 1
        heapq.heappush(self._due, (at_ms, self._number, action))

    def run_until(self, now_ms: float) -> None:
        """Run all actions that are due."""
        while self._due and self._due[0][0] <= now_ms:
            at_ms, _, action = heapq.heappop(self._due)
            action(at_ms)


class Baseline:
    """Keep the rate in one bucket, or in equal fractions at every node."""

    def __init__(self, case: Case) -> None:
        customer = CUSTOMERS[case.customer]
        self._is_single = case.way is Way.SINGLE_BUCKET
        bucket_count = 1 if self._is_single else NODES
        self._buckets = [
            IdealBucket(customer, 1 / bucket_count) for _ in range(bucket_count)
        ]
        self._ideal = IdealBucket(customer)
        self.result = Result()

    def arrive(self, now_ms: float, entry: int) -> None:
        """Process the arrival of a request; the last node has the single bucket."""
        is_within = self._ideal.admits(now_ms)
        self.result.requests += 1
        self.result.within += is_within
        self.result.messages += self._is_single and entry != NODES - 1
        is_spent = self._buckets[0 if self._is_single else entry].admits(now_ms)
        self.result.count(now_ms, is_within, is_spent)


def run(case: Case) -> Result:
    """Return the results of one case."""
    rng = Random(f"{case.customer} {case.seed}")
    if case.way is not Way.SHARES:
        baseline = Baseline(case)
        for now_ms, entry in arrivals(case, rng):
            baseline.arrive(now_ms, entry)
        return baseline.result
    fleet = Fleet(case)
    if case.lose is not None:
        fleet.run_until(WARM_UP_MS)
        fleet.kill_first_holder(case.lose, WARM_UP_MS)
    for now_ms, entry in arrivals(case, rng):
        fleet.arrive(now_ms, fleet.entries[entry])
    fleet.run_until(math.inf)
    return fleet.result
