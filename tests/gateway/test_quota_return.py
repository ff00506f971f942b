"""Return the tokens of requests that certainly did not run."""

import asyncio
import random
import re
from types import SimpleNamespace

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.departure import Departure
from crocusspindle.core.spend_result import Admitted, NotKept
from crocusspindle.core.view import View
from crocusspindle.gateway.entry import Entry, ProcessedRequest
from crocusspindle.gateway.messages import (
    Done,
    NotMineAnswer,
    ReturnAsk,
    SpendAnswer,
    SpendAsk,
)
from crocusspindle.gateway.quota import STARTUP_PERIOD_MS, Quota, SpentToken
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.responses import Refusal
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import CustomerId
from crocusspindle.metrics import Metrics
from crocusspindle_standins.on_platform.fleet import Fleet, configuration
from tests.gateway.test_fleet_state import make_fleet_state, view_entry

CLUB = CustomerId("club")
RULE = CustomerRule(CLUB, rate_per_s=10.0, burst=10.0)
SPENT = SpentToken(7, customer=CLUB, keeper=("10.0.0.1", 1))


class KeeperExchange:
    """Respond for a quota keeper, to requests for a token when ``answer`` is set."""

    def __init__(self, returns_confirmed: bool = True) -> None:
        self.answer: asyncio.Future = asyncio.Future()
        self.asked: list[SpendAsk] = []
        self.returned: list[ReturnAsk] = []
        self._confirmed = returns_confirmed

    async def request(self, to, message, *_):
        """Return the response to a message."""
        if isinstance(message, ReturnAsk):
            self.returned.append(message)
            return Done() if self._confirmed else None
        self.asked.append(message)
        return await self.answer


def make_quota(exchange, metrics=None, node=None) -> Quota:
    fleet_state = make_fleet_state()
    fleet_state.started_ms = now_ms() - STARTUP_PERIOD_MS
    fleet_state.update_view(View(4, (view_entry(0), view_entry(1))), now_ms())
    node = node or view_entry(0).node
    metrics = metrics or Metrics(node.host, node.domain)
    bounds = LiveBounds(Bounds())
    rng = random.Random(1)
    return Quota(node, bounds, exchange, fleet_state, metrics, rng, now_ms())


async def test_token_granted_after_the_caller_left_is_returned():
    """Guards against tokens granted in vain to requests whose callers have left."""
    exchange = KeeperExchange()
    spending = asyncio.create_task(make_quota(exchange).spend(RULE, 500.0, 0.0, 3))
    await asyncio.sleep(0.01)
    spending.cancel()
    await asyncio.gather(spending, return_exceptions=True)
    exchange.answer.set_result(SpendAnswer(0.0, 7))
    await asyncio.sleep(0.01)
    assert exchange.asked == [SpendAsk("club", 500, 3)]
    assert exchange.returned == [ReturnAsk("club", 7)]


async def test_token_of_an_older_keeper_is_awaited_and_never_returned():
    """Guards against a rolling update in which the bound is exceeded."""
    exchange = KeeperExchange()
    exchange.answer.set_result(SpendAnswer(40.0))
    quota = make_quota(exchange)
    began_ms = now_ms()
    result = await quota.spend(RULE, 500.0, 0.0)
    assert result == Admitted() and now_ms() - began_ms >= 39.0
    assert not quota.return_token(result)
    assert exchange.returned == []


async def test_waits_at_two_keepers_add_up_to_one_wait_limit():
    """Guards against a request that waits its whole limit at each keeper in turn."""

    class Changing(KeeperExchange):
        async def request(self, to, message, *_):
            self.asked.append(message)
            await asyncio.sleep(0.1)
            return NotMineAnswer()

    exchange = Changing()
    assert await make_quota(exchange).spend(RULE, 150.0, 0.0) == NotKept()
    first, second = (message.wait_limit_ms for message in exchange.asked)
    assert first == 150 and second <= 50


async def test_a_wait_for_a_change_of_keepers_leaves_the_wait_for_a_token():
    """Guards against a refusal within the quota just after a keeper has changed.

    The new keeper may begin without tokens, and the next one is due in milliseconds.
    """

    class Changing(KeeperExchange):
        async def request(self, to, message, *_):
            self.asked.append(message)
            if len(self.asked) > 1:
                return SpendAnswer(0.0, 7)
            await asyncio.sleep(0.2)
            return NotMineAnswer(waited_ms=30)

    exchange = Changing()
    assert isinstance(await make_quota(exchange).spend(RULE, 150.0, 0.0), SpentToken)
    assert [message.wait_limit_ms for message in exchange.asked] == [150, 120]


async def test_a_keeper_reports_only_the_wait_for_a_token():
    """Guards against requests for releases that count as a wait for a token."""

    class Silent(KeeperExchange):
        async def request(self, to, message, *_):
            await asyncio.sleep(0.1)

    entries = (view_entry(0), view_entry(1))
    first = View(4, entries).ranked(CLUB)[0]
    removed, own = sorted(entries, key=lambda entry: entry.node.host != first)
    quota = make_quota(Silent(), node=own.node)
    quota._fleet_state.update_view(View(5, (own,), (removed,)), now_ms())
    quota._apply_fleet_state()
    began_ms = now_ms()
    response = await quota._spend_ask(SpendAsk(CLUB, 500, 0), ("10.0.0.9", 1))
    assert now_ms() - began_ms >= 99.0
    assert response == NotMineAnswer(waited_ms=0)


async def test_unconfirmed_return_is_counted():
    """Guards against tokens lost to a keeper without a trace in the metrics."""
    metrics = Metrics("g", "a")
    quota = make_quota(KeeperExchange(returns_confirmed=False), metrics)
    assert quota.return_token(SPENT)
    await asyncio.sleep(0.01)
    assert 'tokens_returned_total{outcome="unconfirmed"' in _text(metrics)


def _text(metrics: Metrics) -> str:
    text = metrics.render()
    return text.decode() if isinstance(text, bytes) else text


@pytest.mark.parametrize(
    ("arrived", "error", "returned"),
    [
        (False, Refusal(503, "full", 100.0), [SPENT]),
        (False, asyncio.CancelledError(), [SPENT]),
        (True, Refusal(503, "target-shed", 100.0), []),
        (True, asyncio.CancelledError(), []),
    ],
)
async def test_entry_returns_the_token_of_a_request_that_did_not_arrive(
    arrived, error, returned
):
    """Guards against tokens lost with refusals, or returned though a target ran it."""
    tokens: list[Admitted] = []
    context = SimpleNamespace(
        content="c",
        customer=RULE,
        priority=12,
        began_ms=now_ms(),
        route=SimpleNamespace(aim_ms=800.0),
        deadline_ms=now_ms() + 2_000.0,
        certainly_not_arrived=not arrived,
        token_returned=False,
    )

    class Admission:
        async def admit(self, *_):
            return context

    class Runner:
        async def send(self, context):
            raise error

    class FakeQuota:
        async def spend(self, customer, wait_limit_ms, wait_until_ms, priority):
            assert (wait_limit_ms, priority) == (100.0, 9)
            return SPENT

        def return_token(self, spent):
            tokens.append(spent)
            return True

    crashes = SimpleNamespace(refusal=lambda content: None)
    hand_over = SimpleNamespace(read_mark=lambda request: None)
    entry = Entry(
        Admission(),
        None,
        None,
        Runner(),
        hand_over,
        FakeQuota(),
        crashes,
        None,
        Departure(),
    )
    with pytest.raises(type(error)):
        await entry._run(SimpleNamespace(), ProcessedRequest("r", now_ms()))
    assert tokens == returned
    assert context.token_returned is bool(returned)


PER_S, BURST = 8, 8
CALLS_PER_S, FOR_S = 40.0, 4.0


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start(gateways=2, targets=1)
        yield started
    finally:
        await started.stop()


async def test_requests_refused_as_full_give_their_tokens_back(fleet):
    """Guards against a quota spent on requests that an overloaded service refuses."""
    document = configuration(2)
    document["tenants"]["club"] |= {"per_s": PER_S, "burst": BURST}
    await fleet.configure(document)
    fleet.targets[0].work_s = 0.6
    await asyncio.sleep(2.0)
    await fleet.call_for(FOR_S, CALLS_PER_S)
    await asyncio.sleep(0.3)
    lines = [line for gateway in fleet.gateways for line in gateway.lines()]
    ended = [line for line in lines if line["message"] == "request ended"]
    full = [line for line in lines if line.get("reason") == "full"]
    assert len(full) > 10
    assert all(line["token_returned"] for line in full if not line["sends"])
    assert not any(line["token_returned"] for line in ended)
    # Returned tokens served others: more requests got one than the bound has.
    assert len(ended) + len(full) > 1.2 * (PER_S * FOR_S + BURST)
    assert len(fleet.targets[0].arrivals) <= PER_S * FOR_S + BURST + 1
    accepted = 0
    for gateway in fleet.gateways:
        async with fleet.client.get(f"http://{gateway.ip}:9464/metrics") as response:
            text = await response.text()
        for found in re.findall(
            r'gateway_tokens_returned_total\{.*outcome="accepted".*\} ([0-9.]+)', text
        ):
            accepted += float(found)
    returned = sum(line.get("token_returned", False) for line in lines)
    assert accepted >= 0.9 * returned
