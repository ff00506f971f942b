"""Tests of requests that a gateway without paths hands over to another one."""

import asyncio
import time

import aiohttp
import pytest
from multidict import CIMultiDict

from crocusspindle.gateway.hand_over_headers import REFUSED, REQUEST_HEADERS, HandedOver
from crocusspindle_standins.on_platform.fleet import (
    HOST,
    KEY,
    START_TIMEOUT_S,
    Fleet,
    Gateway,
)
from crocusspindle_standins.on_platform.partitioned import (
    CutMode,
    end_cut,
    write_cut,
)
from crocusspindle_standins.on_platform.store import TableStore
from crocusspindle_standins.on_platform.target import TargetFault

GATEWAYS = 4
OK = 200
NOT_RUN = 503
PEER_PORT = 7340
ORDER_RUNS_S = 1.5
"""Time in which an order reaches its target; its route gives up after two seconds."""


class ViewLockedStore(TableStore):
    """Refuse to replace the view while ``is_locked``, so that no node joins it."""

    is_locked = False

    async def _transact(self, request):
        rows = (await request.json())["puts"]
        if self.is_locked and any(row["key"].startswith("view") for row in rows):
            return self._respond([], status=412)
        return await super()._transact(request)


@pytest.fixture
async def fleet(tmp_path):
    program = "crocusspindle_standins.on_platform.partitioned"
    started = Fleet(tmp_path, ViewLockedStore(), program=program)
    try:
        await started.start(GATEWAYS, targets=4)
        yield started
    finally:
        await started.stop()


async def cut_off(fleet: Fleet, gateways, mode=CutMode.REFUSES) -> None:
    """Cut gateways off, and let each learn of it."""
    addresses = [target.address for target in fleet.targets]
    for gateway in gateways:
        write_cut(fleet.gateways[gateway].settings, mode, addresses)
    for gateway in gateways:
        await fleet.call("/pages/learn", gateway=gateway)


def lines_of(fleet: Fleet, gateway: int, request: str):
    """Return the lines of a gateway about a request."""
    lines = fleet.gateways[gateway].lines()
    return [line for line in lines if line.get("request") == request]


async def test_a_handed_over_request_is_served_as_any_other(fleet):
    """Guards against a hop that changes a request, or shows its key to the target."""
    await cut_off(fleet, [0])
    body = b"pay" * 1000
    status, answer, headers = await fleet.call("/orders/7", "POST", data=body)
    assert (status, answer) == (OK, b"answer to /orders/7 " + body)
    request = f"r{fleet.requests}"
    assert headers["X-Request-Id"] == request and REFUSED not in headers
    assert fleet.ran(request) == 1
    (seen,) = [
        headers
        for target in fleet.targets
        for headers in map(CIMultiDict, target.seen)
        if headers["X-Request-Id"] == request
    ]
    assert seen["Host"] == HOST and seen["X-Tenant"] == "club"
    assert not any(name in seen for name in ("X-Api-Key", *REQUEST_HEADERS))
    assert int(seen["X-Deadline-Milliseconds"]) <= 2000


async def test_both_gateways_log_a_handed_over_request_under_its_id(fleet):
    """Guards against a hop that leaves no trace."""
    await cut_off(fleet, [0])
    await fleet.call("/pages/7")
    request = f"r{fleet.requests}"
    (own,) = lines_of(fleet, 0, request)
    handed_to = own["sends"][0]["handed_to"]
    (taken,) = lines_of(fleet, int(handed_to[1:]), request)
    assert taken["handed_over_by"] == fleet.gateways[0].ip
    assert own["handed_over_by"] is None


async def test_a_handed_over_request_keeps_all_the_time_that_is_left(fleet):
    """Guards against the time before the hand-over counted twice."""
    await cut_off(fleet, [0], CutMode.HANGS)
    request = f"r{fleet.requests}"
    (line,) = lines_of(fleet, 0, request)
    age_ms = line["sends"][-1]["after_ms"]
    left_ms = [
        float(headers["X-Deadline-Milliseconds"])
        for target in fleet.targets
        for headers in map(CIMultiDict, target.seen)
        if headers["X-Request-Id"] == request
    ]
    assert age_ms >= 300 and max(left_ms) >= 2_000 - age_ms - 200


async def test_a_long_body_is_handed_over_once(fleet):
    """Guards against a streamed body that is sent again, or cut."""
    await cut_off(fleet, [0])

    async def parts():
        for _ in range(25):
            yield b"x" * 100_000
            await asyncio.sleep(0.001)

    status, answer, _ = await fleet.call("/orders/long", "POST", data=parts())
    assert status == OK and len(answer) == len(b"answer to /orders/long ") + 2_500_000
    assert fleet.ran(f"r{fleet.requests}") == 1


async def add_before_it_joins(fleet: Fleet) -> Gateway:
    """Start a gateway that becomes ready and isn't in the view."""
    fleet.store.is_locked = True
    gateway = await fleet.add_gateway(GATEWAYS)
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await fleet.is_ready(gateway):
            await asyncio.sleep(0.02)
    return gateway


async def test_a_gateway_that_has_not_joined_hands_over(fleet):
    """Guards against a new gateway without paths whose requests all others refuse."""
    await add_before_it_joins(fleet)
    await cut_off(fleet, [GATEWAYS])

    async def parts():
        for _ in range(5):
            yield b"x" * 100_000

    status, _, _ = await fleet.call(
        "/orders/new", "POST", gateway=GATEWAYS, data=parts()
    )
    assert (status, fleet.ran(f"r{fleet.requests}")) == (OK, 1)
    for number in range(5):
        assert (await fleet.call(f"/pages/{number}", gateway=GATEWAYS))[0] == OK


async def test_all_are_refused_at_once_if_no_gateway_has_a_path(fleet):
    """Guards against requests that go from host to host, or wait for their deadline."""
    await cut_off(fleet, range(GATEWAYS))
    for gateway in range(GATEWAYS):
        began_s = time.monotonic()
        status, _, headers = await fleet.call("/pages/8", gateway=gateway)
        assert status == NOT_RUN and time.monotonic() - began_s < 0.5
        assert 0.0 < float(headers["Retry-After"]) <= 2.0
        request = f"r{fleet.requests}"
        taken = [
            line
            for other in range(GATEWAYS)
            for line in lines_of(fleet, other, request)
            if line["handed_over_by"] is not None
        ]
        assert len(taken) <= GATEWAYS - 1
        assert not any(
            send.get("handed_to") for line in taken for send in line["sends"]
        )
    for gateway in fleet.gateways:
        end_cut(gateway.settings)
    await asyncio.sleep(1.0)
    assert (await fleet.call("/pages/9"))[0] == OK


async def test_an_order_that_may_have_run_is_not_called_not_run(fleet):
    """Guards against an order sent again, or refused, once its taker is lost."""
    await cut_off(fleet, [0])
    for target in fleet.targets:
        target.fault = TargetFault.HANGS
    call = asyncio.create_task(fleet.call("/orders/9", "POST", data=b"pay"))
    await asyncio.sleep(0)
    request = f"r{fleet.requests}"
    async with asyncio.timeout(ORDER_RUNS_S):
        while not fleet.ran(request):
            await asyncio.sleep(0.02)
    assert fleet.ran(request) == 1
    # The line of the taker comes only at its end, so all others end.
    for gateway in fleet.gateways[1:]:
        gateway.process.kill()
    status, _, _ = await call
    assert status not in (429, NOT_RUN, 408, 421)
    assert fleet.ran(request) == 1


async def test_a_caller_that_leaves_ends_the_work_elsewhere(fleet):
    """Guards against work for a caller that has left the gateway it was sent to."""
    await cut_off(fleet, [0])
    for target in fleet.targets:
        target.fault = TargetFault.HANGS
    call = asyncio.create_task(fleet.call("/pages/9"))
    await asyncio.sleep(0.2)
    running = sum(target._in_flight for target in fleet.targets)
    call.cancel()
    await asyncio.sleep(0.4)
    assert running >= 1
    ended = [
        line
        for gateway in range(1, GATEWAYS)
        for line in lines_of(fleet, gateway, f"r{fleet.requests}")
    ]
    assert [line["outcome"] for line in ended] == ["caller left"]


async def test_a_leaving_gateway_finishes_what_it_took(fleet):
    """Guards against a planned stop that drops the requests of other hosts."""
    for target in fleet.targets:
        target.work_s = 0.6
    await cut_off(fleet, [0])
    calls = [
        asyncio.create_task(fleet.call(f"/orders/{number}", "POST", data=b"pay"))
        for number in range(4)
    ]
    await asyncio.sleep(0.2)
    for gateway in fleet.gateways[1:3]:
        gateway.process.terminate()
    assert [status for status, _, _ in await asyncio.gather(*calls)] == [OK] * 4
    assert (await fleet.call("/orders/later", "POST", data=b"pay"))[0] == OK


@pytest.mark.parametrize("ip", [None, "127.0.0.1"])
async def test_only_members_may_hand_requests_over(fleet, ip):
    """Guards against a request that passes for another host's, and skips its quota."""
    mark = HandedOver(fleet.gateways[0].ip, 5.0, 1, True, 0)
    headers = {
        "Host": HOST,
        "X-Request-Id": "forged",
        "X-Api-Key": KEY,
        **mark.headers(),
    }
    gateway = fleet.gateways[1]
    url = gateway.caller_url if ip is None else f"http://{gateway.ip}:{PEER_PORT}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{url}/pages/1", headers=headers) as response,
    ):
        status = response.status
    if ip is None:
        # At the port for callers the mark means nothing, and doesn't go further.
        assert status == OK
        for headers in (CIMultiDict(s) for t in fleet.targets for s in t.seen):
            assert not any(name in headers for name in REQUEST_HEADERS)
        (line,) = lines_of(fleet, 1, "forged")
        assert line["handed_over_by"] is None
    else:
        assert status == NOT_RUN and not fleet.ran("forged")
