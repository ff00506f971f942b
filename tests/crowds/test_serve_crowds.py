"""Tests of a gateway process while callers that don't behave press one of its ports."""

import asyncio
import resource
from contextlib import asynccontextmanager, suppress

import aiohttp
import pytest

from crocusspindle_standins.on_platform.fleet import HOST, KEY, Fleet, configuration
from crocusspindle_standins.single_attempt import single_attempt_session
from tests.crowds.crowd import NEVER_DUE_S, Behavior, Crowd, Port, watched

OK = 200
MEMORY_MB = 152
"""Memory of the smallest hosts."""

FILE_DESCRIPTORS = 500
FILES = 200
"""Descriptors of a host that are not for connections."""

METRICS_PORT = 9464
PEER_PORT = 7340
TENANTS = {"club": {"api_keys": [KEY], "per_s": 5_000, "burst": 5_000}}
LIMITS = {"header_bytes": 16_384, "body_bytes": 3_000_000, "idle_timeout_s": 15}

CALLER_BEHAVIORS = list(Behavior)
OTHER_BEHAVIORS = [
    Behavior.LONG_HEADS,
    Behavior.EMPTY_LINES,
    Behavior.NO_REQUESTS,
    Behavior.BODIES,
    Behavior.PIPELINED,
    Behavior.SILENT,
]
PORTS = ["callers", "hand-over", "where", "ready", "metrics"]


def fields(method, path, key=KEY):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n"
        f"X-Api-Key: {key}\r\nX-Deadline-Milliseconds: 60000\r\n"
    ).encode()


def port_of(gateway, name):
    numbers = {
        "callers": gateway.ports[0],
        "hand-over": PEER_PORT,
        "where": gateway.ports[2],
        "ready": gateway.ports[1],
        "metrics": METRICS_PORT,
    }
    paths = {
        "where": "/-/resolve?name=x&zone=a",
        "ready": "/-/readiness",
        "metrics": "/metrics",
    }
    get, post = paths.get(name, "/pages/a"), paths.get(name, "/orders/a")
    number = numbers[name]
    return Port(gateway.ip, number, fields("GET", get), fields("POST", post))


class LimitedFleet(Fleet):
    """Run gateways on hosts with few descriptors."""

    def _settings(self, gateway):
        limits = f"[limits]\nfile_descriptors = {FILE_DESCRIPTORS}\n"
        return super()._settings(gateway).replace("[limits]\n", limits)

    async def run(self, gateway):
        await super().run(gateway)
        most = (FILE_DESCRIPTORS, FILE_DESCRIPTORS)
        resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, most)


@asynccontextmanager
async def running_gateway(folder):
    fleet = LimitedFleet(folder, memory_mb=MEMORY_MB)
    try:
        await fleet.start(gateways=1)
        await fleet.configure(configuration(2, tenants=TENANTS, limits=LIMITS))
        await until_served(fleet)
        yield fleet
    finally:
        await fleet.stop()


async def until_served(fleet):
    """Send ordinary requests, each on a new connection, until one is served."""
    url = fleet.gateways[0].caller_url + "/pages/a"
    headers = {"Host": HOST, "X-Request-Id": "ordinary", "X-Api-Key": KEY}
    async with asyncio.timeout(NEVER_DUE_S):
        while True:
            # The process may refuse or close a connection while it is pressed.
            with suppress(aiohttp.ClientError, OSError):
                async with (
                    single_attempt_session() as session,
                    session.get(url, headers=headers) as response,
                ):
                    if response.status == OK and await response.read():
                        return
            await asyncio.sleep(0.1)


@pytest.mark.crowd
@pytest.mark.parametrize(
    ("port_name", "behavior"),
    [
        (name, behavior)
        for name in PORTS
        for behavior in (CALLER_BEHAVIORS if name == "callers" else OTHER_BEHAVIORS)
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Behavior) else value,
)
async def test_a_gateway_outlives_a_crowd(tmp_path, port_name, behavior):
    """Guards against a process that a crowd of callers ends or cuts off from others."""
    async with running_gateway(tmp_path) as fleet:
        gateway = fleet.gateways[0]
        ports = [port_of(gateway, name) for name in PORTS]
        addresses = frozenset((port.host, port.number) for port in ports)
        crowd = Crowd(port_of(gateway, port_name), behavior)
        try:
            async with watched(gateway.process.pid, addresses) as usage:
                await crowd.press()
                await until_served(fleet)
        finally:
            crowd.leave()
        await until_served(fleet)
        assert gateway.process.returncode is None
        assert usage.memory_bytes < MEMORY_MB * 1e6, usage
        assert usage.descriptors <= FILE_DESCRIPTORS - FILES, usage
