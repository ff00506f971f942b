"""Tests of a gateway process while callers that don't behave press one of its ports."""

import resource
from contextlib import asynccontextmanager

import pytest

from crocusspindle_standins.on_platform.fleet import HOST, KEY, Fleet, configuration
from tests.crowds.crowd import Crowd, Port, case_id, cases, until_served, watched

MEMORY_MB = 152
"""Memory of the smallest hosts."""

FILE_DESCRIPTORS = 500
FILES = 200
"""Descriptors of a host that are not for connections."""

METRICS_PORT = 9464
PEER_PORT = 7340
TENANTS = {"club": {"api_keys": [KEY], "per_s": 5_000, "burst": 5_000}}
LIMITS = {"header_bytes": 16_384, "body_bytes": 3_000_000, "idle_timeout_s": 15}

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
        await until_one_is_served(fleet)
        yield fleet
    finally:
        await fleet.stop()


async def until_one_is_served(fleet):
    """Wait until an ordinary caller is served."""
    url = fleet.gateways[0].caller_url + "/pages/a"
    headers = {"Host": HOST, "X-Request-Id": "ordinary", "X-Api-Key": KEY}
    await until_served(url, headers)


@pytest.mark.crowd
@pytest.mark.parametrize(("port_name", "behavior"), cases(PORTS), ids=case_id)
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
                await until_one_is_served(fleet)
        finally:
            crowd.leave()
        await until_one_is_served(fleet)
        assert gateway.process.returncode is None
        assert usage.memory_bytes < MEMORY_MB * 1e6, usage
        assert usage.descriptors <= FILE_DESCRIPTORS - FILES, usage
