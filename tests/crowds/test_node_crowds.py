"""Tests of a process of ``node`` while callers that don't behave press its ports."""

import resource
from contextlib import asynccontextmanager

import pytest

from crocusspindle_standins.fleet import (
    OPERATOR_KEY,
    Fleet,
    Layout,
    TargetGroup,
    sha256,
)
from crocusspindle_standins.processes import HOST
from tests.crowds.crowd import Crowd, Port, case_id, cases, until_served, watched

MEMORY_MB = 152
"""Memory of the smallest hosts."""

MAX_CONNECTIONS = 100
FILE_DESCRIPTORS = 500
OTHER_DESCRIPTORS = 200
"""Descriptors of a host that are not for connections."""

LOWERED = {
    "max_connections": MAX_CONNECTIONS,
    "max_header_bytes": 4_096,
    "body_buffer_bytes": 65_536,
}
KEY = "key-of-the-crowd"
PORTS = ["callers", "operators", "metrics"]
LAYOUT = Layout(
    1,
    1,
    (TargetGroup("desk", 4, 4, 5.0),),
    {
        "where_max_age_ms": 2000,
        "drain_ms": 10000,
        "heartbeat_ms": 250,
        "poll_ms": 500,
        "freshness_ms": 2000,
        "silence_ms": 3000,
    },
)


class LimitedFleet(Fleet):
    """Run a node with lowered limits on a host with few descriptors."""

    def _settings(self, node):
        settings = super()._settings(node)
        settings["caller"].update(LOWERED)
        return settings

    async def start_node(self, node):
        await super().start_node(node)
        most = (FILE_DESCRIPTORS, FILE_DESCRIPTORS)
        resource.prlimit(node.running.process.pid, resource.RLIMIT_NOFILE, most)


def port_of(node, name):
    number, key, get, post = {
        "callers": (node.caller_port, KEY, "/desk/item", "/desk/item"),
        "operators": (
            node.operator_port,
            OPERATOR_KEY,
            "/v1/status",
            "/v1/tickets/validate",
        ),
        "metrics": (node.metrics_port, KEY, "/metrics", "/metrics"),
    }[name]

    def fields(method, path):
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {key}\r\n"
        ).encode()

    return Port(HOST, number, fields("GET", get), fields("POST", post))


async def until_one_is_served(fleet):
    """Wait until an ordinary caller is served."""
    url = f"{fleet.nodes[0].caller_url}/desk/item"
    headers = {"Authorization": f"Bearer {KEY}"}
    await until_served(url, headers)


@asynccontextmanager
async def running_node(folder):
    async with LimitedFleet(LAYOUT, folder) as fleet:
        await fleet.ticket(
            fleet.nodes[0],
            services={"desk": {"timeout_ms": 4000.0}},
            routes={"/desk/": {"service": "desk"}},
            customers={"ward": {"rate_per_s": 5_000.0, "burst": 5_000}},
            keys={sha256(KEY): {"customer": "ward", "state": "active"}},
        )
        number = await fleet.ticket(
            fleet.nodes[0],
            "owner",
            approvals={"desk": {"ward": {"approved_by": "owner"}}},
        )
        await fleet.until_applied(number, fleet.nodes)
        await until_one_is_served(fleet)
        yield fleet


@pytest.mark.crowd
@pytest.mark.parametrize(("port_name", "behavior"), cases(PORTS), ids=case_id)
async def test_a_node_outlives_a_crowd(tmp_path, port_name, behavior):
    """Guards against a process that a crowd of callers ends or cuts off from others."""
    async with running_node(tmp_path) as fleet:
        node = fleet.nodes[0]
        ports = [port_of(node, name) for name in PORTS]
        addresses = frozenset((port.host, port.number) for port in ports)
        crowd = Crowd(port_of(node, port_name), behavior)
        try:
            async with watched(node.running.process.pid, addresses) as usage:
                await crowd.press()
                await until_one_is_served(fleet)
        finally:
            crowd.leave()
        await until_one_is_served(fleet)
        assert node.running.alive
        assert usage.memory_bytes < MEMORY_MB * 1e6, usage
        assert usage.descriptors <= FILE_DESCRIPTORS - OTHER_DESCRIPTORS, usage
