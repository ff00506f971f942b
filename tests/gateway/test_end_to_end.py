"""End-to-end tests of gateway processes with a stand-in of the platform."""

import asyncio
import re
import signal

import aiohttp
import pytest

from crocusspindle.core.capacity_left import LOAD_MAX
from crocusspindle_standins.on_platform.fleet import KEY, Fleet, configuration
from crocusspindle_standins.on_platform.store import StoreMode
from crocusspindle_standins.on_platform.target import TargetFault


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def test_a_request_is_forwarded_and_its_response_returned(fleet):
    status, body, headers = await fleet.call("/pages/oak?size=2")
    assert (status, body) == (200, b"answer to /pages/oak?size=2 ")
    assert headers["X-Request-Id"] == "r1" and "X-Server-Stamp" in headers
    (seen,) = [seen for target in fleet.targets for seen in target.seen]
    assert seen["X-Tenant"] == "club" and "X-Api-Key" not in seen
    assert 0 < int(seen["X-Deadline-Milliseconds"]) <= 2_000


@pytest.mark.parametrize("size", [0, 10, 400_000, 2_500_000])
async def test_bodies_of_any_length_arrive_complete(fleet, size):
    status, body, _ = await fleet.call("/orders/1", "POST", data=b"x" * size)
    assert status == 200
    assert len(body) == len(b"answer to /orders/1 ") + size


async def test_a_chunked_body_arrives_complete(fleet):
    async def chunks():
        for _ in range(30):
            yield b"y" * 1_000

    status, body, _ = await fleet.call("/orders/1", "POST", data=chunks())
    assert status == 200 and body.endswith(b"y" * 30_000)


async def test_expect_100_continue_is_answered(fleet):
    """A caller of a long upload first sends "Expect: 100-continue".

    Without "100 Continue" it waits for its own timeout before it sends the body.
    """
    gateway = fleet.gateways[0]
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
    head = (
        "POST /orders/1 HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: up\r\n"
        f"X-Api-Key: {KEY}\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    )
    writer.write(head.encode())
    async with asyncio.timeout(2):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"pay")
        assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    writer.close()


@pytest.mark.parametrize(
    "request_text",
    [
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET /\x00 HTTP/1.1\r\n\r\n",
        "nonsense\r\n\r\n",
    ],
)
async def test_a_malformed_request_is_refused_and_its_connection_closed(
    fleet, request_text
):
    """A caller sends two lengths, or a second request smuggled in a first.

    Parsed differently by two hops, the second would run under the first one's key.
    """
    gateway = fleet.gateways[0]
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
    writer.write(request_text.encode())
    async with asyncio.timeout(3):
        response = await reader.read()
    assert response.partition(b" ")[2].startswith(b"400 ")
    writer.close()


async def test_refusals_have_the_status_of_their_cause(fleet):
    assert (await fleet.call("/nowhere/"))[0] == 404
    assert (await fleet.call("/pages/", key="unknown"))[0] == 401
    too_long = await fleet.call("/orders/1", "POST", data=b"x" * 3_000_001)
    assert too_long[0] == 413


async def test_a_get_that_meets_a_gray_target_is_retried_elsewhere(fleet):
    """One of four targets breaks the connections of all its requests.

    Without retries callers would lose a quarter of their GETs.
    """
    fleet.targets[0].fault = TargetFault.RESETS
    responses = [await fleet.call("/pages/oak") for _ in range(40)]
    assert {status for status, _, _ in responses} == {200}
    assert fleet.targets[0].ran.total() <= 3


@pytest.mark.parametrize(
    "fault", [TargetFault.RESETS, TargetFault.CUTS, TargetFault.CROSSES]
)
async def test_a_post_runs_once_whatever_its_target_does(fleet, fault):
    """A target runs POSTs and breaks their responses.

    Retried, the POST would run twice; reported as not run, its caller would repeat it.
    """
    for target in fleet.targets:
        target.fault = fault
    for _ in range(4):
        status, _, headers = await fleet.call("/orders/1", "POST", data=b"pay")
        assert status in (502, 503)
        ran = fleet.ran(f"r{fleet.requests}")
        assert ran == (1 if status == 502 else 0)
        assert (status == 503) == ("Retry-After" in headers)


async def test_a_response_without_a_length_is_forwarded_only_if_complete(fleet):
    """Targets respond without a length, and some responses are reset before their end.

    All end with their connection. A caller would take a truncated one as complete.
    """
    for target in fleet.targets:
        target.fault = TargetFault.UNFRAMED
    status, body, _ = await fleet.call("/orders/1", "POST", data=b"pay")
    assert (status, body) == (200, b"a first part and a second")
    for target in fleet.targets:
        target.fault = TargetFault.UNFRAMED_RESETS
    for _ in range(4):
        status, body, _ = await fleet.call("/orders/1", "POST", data=b"pay")
        assert status in (502, 503) and b"part" not in body


async def test_a_shed_post_is_sent_to_another_target(fleet):
    fleet.targets[0].fault = TargetFault.SHEDS
    fleet.targets[1].fault = TargetFault.SHEDS
    responses = [
        await fleet.call("/orders/1", "POST", data=b"pay", gateway=n % 3)
        for n in range(12)
    ]
    assert {status for status, _, _ in responses} == {200}


async def test_gets_that_meet_a_hung_target_are_hedged(fleet):
    """A target accepts requests and never answers."""
    fleet.targets[0].fault = TargetFault.HANGS
    pages = await asyncio.gather(*(fleet.call("/pages/oak") for _ in range(4)))
    assert [status for status, _, _ in pages] == [200] * 4


async def test_a_withdrawn_key_is_refused_at_every_gateway(fleet):
    """The operator withdraws the key of a customer that keeps sending requests."""
    document = configuration(2)
    document["tenants"]["club"]["api_keys"] = ["another"]
    await fleet.configure(document)
    await asyncio.sleep(2.0)
    for gateway in range(3):
        assert (await fleet.call("/pages/", gateway=gateway))[0] == 401
        assert (await fleet.call("/pages/", gateway=gateway, key="another"))[0] == 200


async def test_a_key_is_refused_once_its_confirmation_is_too_old(fleet):
    """The store stops responding, and a key might be withdrawn meanwhile.

    Requests with the key are served for nearly five seconds after its last
    confirmation, then refused as not run.
    """
    fleet.store.mode = StoreMode.SILENT
    await asyncio.sleep(2.0)
    assert (await fleet.call("/pages/"))[0] == 200
    await asyncio.sleep(4.0)
    status, _, headers = await fleet.call("/pages/")
    assert status == 503 and float(headers["Retry-After"]) > 0
    fleet.store.mode = StoreMode.HEALTHY
    async with asyncio.timeout(5):
        while (await fleet.call("/pages/"))[0] != 200:
            await asyncio.sleep(0.1)


async def test_a_store_that_lost_its_history_is_read_in_full(fleet):
    """The store drops its history between two reads, with a change in it."""
    fleet.store.drop_history()
    document = configuration(2)
    document["routes"]["new"] = {**document["routes"]["pages"], "prefix": "/new/"}
    await fleet.configure(document)
    fleet.store.drop_history()
    async with asyncio.timeout(4):
        while (await fleet.call("/new/"))[0] != 200:
            await asyncio.sleep(0.1)


async def test_a_quota_holds_over_all_gateways_when_one_is_killed(fleet):
    """One customer sends many times its rate while its keeper may be killed.

    A new keeper that started with a full burst would admit it again at each kill.
    """
    document = configuration(2)
    document["tenants"]["club"] |= {"per_s": 20, "burst": 10}
    await fleet.configure(document)
    await asyncio.sleep(2.0)
    served = 0
    began = asyncio.get_running_loop().time()
    number = 0
    while asyncio.get_running_loop().time() - began < 4.0:
        number += 1
        calls = [fleet.call("/pages/", gateway=n % 2) for n in range(4)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        served += statuses.count(200)
        if number % 25 == 10:
            fleet.gateways[2].process.kill()
            await fleet.gateways[2].process.wait()
            await fleet.run(fleet.gateways[2])
    assert 20 <= served <= (20 * 5 + 10) * 1.1 + 20


async def test_a_planned_stop_aborts_no_request(fleet):
    """A gateway gets SIGTERM while callers use their open connections to it."""
    gateway = fleet.gateways[0]
    for target in fleet.targets:
        target.work_s = 0.4
    running = [asyncio.create_task(fleet.call("/pages/oak")) for _ in range(6)]
    await asyncio.sleep(0.1)
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    assert not await fleet.is_ready(gateway)
    assert (await fleet.call("/pages/oak"))[0] == 200
    assert {status for status, _, _ in await asyncio.gather(*running)} == {200}
    await asyncio.sleep(0.5)
    assert gateway.caller_url.removeprefix("http://") not in await fleet.where(1)
    async with asyncio.timeout(4):
        assert await gateway.process.wait() == 0


async def test_settings_are_reloaded_and_an_invalid_file_is_ignored(fleet):
    """The settings file is changed, once to a half-written one.

    An unhandled SIGHUP would end the process and all requests that it serves.
    """
    gateway = fleet.gateways[0]
    good = gateway.settings.read_text()
    for text in (good.replace("grace_s = 3", "grace_s = 4"), good[:40]):
        gateway.settings.write_text(text)
        gateway.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.4)
        assert (await fleet.call("/pages/oak"))[0] == 200
    lines = [line for line in gateway.lines() if line["logger"] == "reload"]
    assert lines[0]["changed"] == ["bounds"]
    assert lines[1]["message"] == "settings refused"


async def test_a_request_is_abandoned_when_its_caller_leaves(fleet):
    """A caller closes its connection while a target works on its request."""
    for target in fleet.targets:
        target.work_s = 1.0
    with pytest.raises(asyncio.TimeoutError):
        await fleet.call("/pages/oak", timeout=aiohttp.ClientTimeout(total=0.3))
    await asyncio.sleep(0.3)
    lines = [line for line in fleet.gateways[0].lines() if "outcome" in line]
    assert lines[-1]["outcome"] == "caller left"
    assert lines[-1]["sends"][0]["ending"] == "abandoned"


async def test_the_log_lists_a_requests_attempts_and_no_key(fleet):
    fleet.targets[0].fault = TargetFault.ERRORS
    for _ in range(8):
        await fleet.call("/orders/1", "POST", data=b"pay")
    lines = [line for line in fleet.gateways[0].lines() if line.get("request")]
    assert len(lines) == 8
    for line in lines:
        assert line["sends"][0]["target"] and line["version"] == 1
        assert 0 <= line["proof_age_ms"] < 3_000
    assert KEY not in fleet.gateways[0].log()


async def test_a_rate_refusal_logs_the_customer_and_its_keeper(fleet):
    """A customer reports that it was refused within its rate.

    An operator needs to know which keeper decided, and on which view.
    """
    document = configuration(2)
    document["tenants"]["club"] |= {"per_s": 1, "burst": 1}
    await fleet.configure(document)
    await asyncio.sleep(1.5)
    statuses = [(await fleet.call("/pages/"))[0] for _ in range(6)]
    assert statuses.count(429) >= 4
    lines = fleet.gateways[0].lines()
    line = next(line for line in lines if line["message"] == "request refused")
    assert (line["reason"], line["customer"]) == ("rate", "club")
    assert line["keeper"] in {gateway.name for gateway in fleet.gateways}
    assert line["view"] > 0 and line["retry_after_ms"] > 0


async def test_metrics_count_responses_and_refusals(fleet):
    for _ in range(3):
        await fleet.call("/pages/oak")
    await fleet.call("/nowhere/")
    url = f"http://{fleet.gateways[0].ip}:9464/metrics"
    async with fleet.client.get(url) as response:
        text = await response.text()
    assert 'crocusspindle_gateway_answers_total{outcome="200"} 3.0' in text
    assert 'crocusspindle_gateway_refused_total{reason="no-route"} 1.0' in text
    assert 'crocusspindle_gateway_request_ms_count{route="safe"} 3.0' in text
    assert "crocusspindle_log_dropped 0.0" in text
    load = re.search(r"(?m)^crocusspindle_gateway_host_load (\S+)$", text)
    assert load is not None and 0 <= float(load[1]) <= LOAD_MAX


async def test_one_gateway_reads_the_store_for_all(fleet):
    """Guards against each gateway reading the store itself."""
    # The first gateway reads for itself, and rests when the others have not asked it
    # for three seconds.
    await asyncio.sleep(4.0)
    before = fleet.store.calls
    await asyncio.sleep(4.0)
    assert fleet.store.calls - before <= 4 * 9
