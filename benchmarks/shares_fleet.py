"""Run the ledgers of one fleet in virtual time, with loans that take a round trip."""

import heapq
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random
from typing import Final

from crocusspindle.core.holders import ViewMember
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
WARM_MS: Final = 60_000.0
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
    """Name a way to keep a rate over the fleet."""

    HOME = "one home"
    FRACTIONS = "fixed fractions"
    SHARES = "conserved shares"


class Arrivals(Enum):
    """Name how requests come."""

    POISSON = "poisson"
    BURSTY = "bursty"


class Loss(Enum):
    """Name what happens after the first holder is killed."""

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
    """Count what one customer saw.

    ``within`` are the requests that one ideal bucket of the whole rate and burst
    would have admitted; ``wrongly`` are those of them that were refused, less those
    of the same instant that were admitted in their place.
    """

    within: int = 0
    balance: dict[float, int] = field(default_factory=dict)
    messages: int = 0
    requests: int = 0
    spent: int = 0
    slowest_ms: float = 0.0

    def judge(self, begun_ms: float, is_within: bool, is_spent: bool) -> None:
        """Count one request that came at a time."""
        self.spent += is_spent
        if is_within != is_spent:
            change = is_within - is_spent
            self.balance[begun_ms] = self.balance.get(begun_ms, 0) + change

    @property
    def wrongly(self) -> int:
        """Return how many were refused though within the rate."""
        return sum(max(0, each) for each in self.balance.values())

    @property
    def net_per_mille(self) -> float:
        """Return by how much fewer were admitted than one ideal bucket admits."""
        return 1000.0 * (self.within - self.spent) / max(1, self.within)

    @property
    def last_wrong_ms(self) -> float:
        """Return when the last of those came."""
        wrong = [at_ms for at_ms, each in self.balance.items() if each > 0]
        return max(wrong, default=0.0)

    @property
    def per_mille(self) -> float:
        """Return refusals within rate for each 1,000 requests within rate."""
        return 1000.0 * self.wrongly / max(1, self.within)


class IdealBucket:
    """Admit what one place that sees all requests would admit."""

    def __init__(self, customer: Customer, part: float = 1.0) -> None:
        self._rate_per_ms = part * customer.rate_per_s / 1000.0
        self._burst = part * customer.burst
        self._tokens = self._burst
        self._at_ms = 0.0

    def admits(self, now_ms: float) -> bool:
        """Take a token if there is one."""
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
    now_ms = WARM_MS
    sent = 0
    while sent < case.requests:
        now_ms += rng.expovariate(rate_per_ms / size)
        for _ in range(size):
            (entry,) = rng.choices(entries, weights[: case.entries])
            yield now_ms, entry
            sent += 1


@dataclass(frozen=True)
class Question:
    """Carry a question for tokens on behalf of one request."""

    entry: MemberId
    lender: MemberId
    missing: float
    asked_ms: float
    begun_ms: float
    is_within: bool
    gather: bool = False
    gathered: int = 0
    tries: int = 1


class Fleet:
    """Hold the ledgers of 40 nodes and carry their questions."""

    def __init__(self, case: Case) -> None:
        self.customer = CUSTOMERS[case.customer]
        self.members = [
            ViewMember(MemberId(f"n{number}"), DomainId(f"d{number % DOMAINS}"))
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
        self.dead: set[MemberId] = set()
        self.result = Result()
        self._ideal = IdealBucket(self.customer)
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0

    def _entries(self, at_holders: bool) -> list[MemberId]:
        """Return the entries in the order in which the customer uses them.

        Callers who follow the entry answers come to the holders first; others come
        anywhere, for which the worst is a place without a share.
        """
        others = [each.member for each in self.members]
        others = [each for each in others if each not in self.holders]
        if at_holders:
            return [*self.holders, *others]
        return [*others, *self.holders]

    def lose(self, loss: Loss, now_ms: float) -> None:
        """Kill the first holder; callers use the others from now on."""
        lost = self.holders[0]
        self.dead.add(lost)
        self.entries.remove(lost)
        if loss is Loss.REPLACED:
            self.later(now_ms + DETECTION_MS, self._replace)
        elif loss is Loss.TAKEN_OVER:
            self.later(now_ms + DETECTION_MS, self._take_over)

    def _replace(self, now_ms: float) -> None:
        kept = [each for each in self.members if each.member not in self.dead]
        for ledger in self.ledgers.values():
            ledger.set_view(ViewNumber(2), kept, now_ms)
            ledger.activate(ViewNumber(2), now_ms)

    def _take_over(self, now_ms: float) -> None:
        for ledger in self.ledgers.values():
            for lost in self.dead:
                ledger.take_over_from(lost, now_ms)

    def ask(self, now_ms: float, entry: MemberId) -> None:
        """Let a request arrive."""
        self.run_until(now_ms)
        self.result.requests += 1
        is_within = self._ideal.admits(now_ms)
        self.result.within += is_within
        about = Question(entry, entry, 0.0, now_ms, now_ms, is_within)
        self._spend(now_ms, about)

    def _spend(self, now_ms: float, about: Question) -> None:
        ledger = self.ledgers[about.entry]
        answer = ledger.spend(self.customer.customer, math.inf, now_ms)
        self._settle(now_ms, about, answer)

    def _settle(self, now_ms: float, about: Question, answer: SpendResult) -> None:
        if isinstance(answer, Borrow):
            lender = answer.holders[0]
            asked = replace(
                about,
                gathered=0,
                lender=lender,
                missing=answer.missing,
                asked_ms=now_ms,
                gather=answer.gather,
            )
            self.result.messages += 1
            self._send(now_ms, asked)
        elif isinstance(answer, Spent):
            self.result.judge(about.begun_ms, about.is_within, True)
            self._top_up(now_ms, about.entry)
            taken_ms = now_ms - about.begun_ms
            self.result.slowest_ms = max(self.result.slowest_ms, taken_ms)
        elif isinstance(answer, OverRate) and answer.waits(about.begun_ms, about.tries):
            again = replace(about, tries=about.tries + 1)
            due_ms = max(now_ms, answer.retry_at_ms)
            self.later(due_ms, lambda at_ms: self._spend(at_ms, again))
        else:
            self.result.judge(about.begun_ms, about.is_within, False)

    def _send(self, now_ms: float, asked: Question) -> None:
        if asked.lender in self.dead:
            self.later(now_ms + TIMEOUT_MS, lambda at_ms: self._lose(at_ms, asked))
        else:
            self.later(now_ms + HOP_MS, lambda at_ms: self._lend(at_ms, asked))

    def _lend(self, now_ms: float, asked: Question) -> None:
        name = self.customer.customer
        lender = self.ledgers[asked.lender]
        loan = lender.lend(name, asked.missing, math.inf, now_ms)
        if loan.amount == 0.0 and asked.gather and asked.gathered < MAX_GATHERS:
            found = lender.gather(name, asked.missing, now_ms)
            if found is not None:
                self._gather(now_ms, asked, found)
                return
        self.later(now_ms + HOP_MS, lambda at_ms: self._credit(at_ms, asked, loan))
        if asked.gather:
            self._top_up_later(now_ms, asked.lender)

    def _gather(self, now_ms: float, asked: Question, found: Borrow) -> None:
        """Let a lender ask another holder first, then decide again."""
        name = self.customer.customer
        source = found.holders[0]
        self.result.messages += 1

        def lend(at_ms: float) -> None:
            loan = self.ledgers[source].lend(name, found.missing, math.inf, at_ms)
            self.later(at_ms + HOP_MS, lambda back_ms: credit(back_ms, loan))

        def credit(back_ms: float, loan: Loan) -> None:
            ledger = self.ledgers[asked.lender]
            ledger.credit_loan(name, loan, source, now_ms, back_ms)
            self._lend(back_ms, replace(asked, gathered=asked.gathered + 1))

        def lose(back_ms: float) -> None:
            self.ledgers[asked.lender].record_timeout(name, source, back_ms)
            self._lend(back_ms, replace(asked, gathered=asked.gathered + 1))

        if source in self.dead:
            self.later(now_ms + TIMEOUT_MS, lose)
        else:
            self.later(now_ms + HOP_MS, lend)

    def _top_up_later(self, now_ms: float, holder: MemberId) -> None:
        self.later(now_ms + TOP_UP_MS, lambda at_ms: self._top_up(at_ms, holder))

    def _top_up(self, now_ms: float, holder: MemberId) -> None:
        answer = self.ledgers[holder].top_up(self.customer.customer, now_ms)
        if answer is None or answer.holders[0] in self.dead:
            return
        self.result.messages += 1
        lender = answer.holders[0]
        name = self.customer.customer

        def lend(at_ms: float) -> None:
            loan = self.ledgers[lender].lend(name, answer.missing, math.inf, at_ms)
            self.later(
                at_ms + HOP_MS,
                lambda back_ms: credit_loan(back_ms, loan),
            )

        def credit_loan(back_ms: float, loan: Loan) -> None:
            self.ledgers[holder].credit_loan(name, loan, lender, now_ms, back_ms)
            self._top_up_later(back_ms, holder)

        self.later(now_ms + HOP_MS, lend)

    def _credit(self, now_ms: float, asked: Question, loan: Loan) -> None:
        name = self.customer.customer
        answer = self.ledgers[asked.entry].credit_and_spend(
            name, loan, asked.lender, asked.asked_ms, now_ms
        )
        self._settle(now_ms, asked, answer)

    def _lose(self, now_ms: float, asked: Question) -> None:
        name = self.customer.customer
        ledger = self.ledgers[asked.entry]
        answer = ledger.lost(name, asked.lender, asked.asked_ms, now_ms)
        self._settle(now_ms, asked, answer)

    def later(self, at_ms: float, action: Callable[[float], None]) -> None:
        """Let something happen at a time."""
        self._number += 1
        heapq.heappush(self._due, (at_ms, self._number, action))

    def run_until(self, now_ms: float) -> None:
        """Let happen what is due."""
        while self._due and self._due[0][0] <= now_ms:
            at_ms, _, action = heapq.heappop(self._due)
            action(at_ms)


class Baseline:
    """Keep the rate in one home, or in equal parts at every node."""

    def __init__(self, case: Case) -> None:
        customer = CUSTOMERS[case.customer]
        self._is_home = case.way is Way.HOME
        parts = 1 if self._is_home else NODES
        self._buckets = [IdealBucket(customer, 1 / parts) for _ in range(parts)]
        self._ideal = IdealBucket(customer)
        self.result = Result()

    def ask(self, now_ms: float, entry: int) -> None:
        """Let a request arrive; the home is none of the first entries."""
        is_within = self._ideal.admits(now_ms)
        self.result.requests += 1
        self.result.within += is_within
        self.result.messages += self._is_home and entry != NODES - 1
        is_spent = self._buckets[0 if self._is_home else entry].admits(now_ms)
        self.result.judge(now_ms, is_within, is_spent)


def run(case: Case) -> Result:
    """Return what the customer of one case saw."""
    rng = Random(f"{case.customer} {case.seed}")
    if case.way is not Way.SHARES:
        baseline = Baseline(case)
        for now_ms, entry in arrivals(case, rng):
            baseline.ask(now_ms, entry)
        return baseline.result
    fleet = Fleet(case)
    if case.lose is not None:
        fleet.run_until(WARM_MS)
        fleet.lose(case.lose, WARM_MS)
    for now_ms, entry in arrivals(case, rng):
        fleet.ask(now_ms, fleet.entries[entry])
    fleet.run_until(math.inf)
    return fleet.result
