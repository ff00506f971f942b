"""Run a fleet on loopback: platform, nodes, targets and an operator."""

import asyncio
import hashlib
import json
import signal
import tempfile
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, Self

import aiohttp
import yaml

from crocusspindle_standins.processes import (
    HOST,
    Processes,
    RunningProcess,
    free_ports,
    get_json,
    put_json,
    until_served,
)
from crocusspindle_standins.relay import Relay

OPERATOR_KEY: Final = "operator-key-of-the-stand-in"
FLEET_KEY: Final = "fleet-key-of-the-stand-in"
CONVERGENCE_TIMEOUT_S: Final = 20.0


def sha256(text: str) -> str:
    """Return the hex digest of a key."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(frozen=True)
class TargetGroup:
    """Describe the targets of one service."""

    service: str
    targets: int
    slots: int
    work_ms: float
    queue: int = 2


@dataclass(frozen=True)
class Layout:
    """Describe a test fleet."""

    nodes: int
    domains: int
    groups: tuple[TargetGroup, ...]
    timings: Mapping[str, float] = field(default_factory=dict)
    relayed: bool = False
    """Whether tests can cut the nodes' connections."""


@dataclass
class Node:
    """Hold one node's ports, settings and process."""

    name: str
    domain: str
    caller_port: int
    peer_port: int
    operator_port: int
    metrics_port: int
    running: RunningProcess | None = None
    settings: Path | None = None
    peer_advertise: str | None = None
    platform_url: str | None = None

    @property
    def caller_url(self) -> str:
        """Return the URL for callers."""
        return f"http://{HOST}:{self.caller_port}"

    @property
    def operator_url(self) -> str:
        """Return the URL for operators."""
        return f"http://{HOST}:{self.operator_port}"


@dataclass
class TargetProcess:
    """Hold one target's address and process."""

    service: str
    port: int
    domain: str
    slots: int
    running: RunningProcess

    @property
    def name(self) -> str:
        """Return the target's name."""
        return f"{HOST}:{self.port}"

    @property
    def url(self) -> str:
        """Return the target's URL."""
        return f"http://{HOST}:{self.port}"


class Fleet:
    """Start a fleet, submit tickets to it and inject faults."""

    def __init__(self, layout: Layout, folder: Path) -> None:
        self.layout = layout
        self.processes = Processes(folder)
        self.folder = folder
        self.nodes: list[Node] = []
        self.targets: list[TargetProcess] = []
        self.platform_port = 0
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=10, sock_connect=1)
        )
        self.peer_relays: dict[str, Relay] = {}
        self.platform_relays: dict[str, Relay] = {}
        self._ticket = 0
        self._hosts: list[dict[str, Any]] = []

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.close()

    @classmethod
    def temporary(cls, layout: Layout) -> "Fleet":
        """Return a fleet whose files are in a new temporary folder."""
        return cls(layout, Path(tempfile.mkdtemp(prefix="crocusspindle-")))

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform's stand-in."""
        return f"http://{HOST}:{self.platform_port}"

    async def start(self) -> None:
        """Start every process and wait until the nodes agree on a view."""
        await self._start_platform()
        await asyncio.gather(self._start_targets(), self._start_nodes())
        await self.until_agreed()

    async def close(self) -> None:
        """End every process and relay."""
        for relay in (*self.peer_relays.values(), *self.platform_relays.values()):
            await relay.stop()
        await self.processes.stop_all()
        await self.session.close()

    async def _start_platform(self) -> None:
        (self.platform_port,) = free_ports(1)
        running = await self.processes.start(
            "platform",
            "crocusspindle_standins.platform",
            "--port",
            self.platform_port,
        )
        await until_served(self.session, f"{self.platform_url}/control", running)

    async def _start_targets(self) -> None:
        planned = [
            (group, number)
            for group in self.layout.groups
            for number in range(group.targets)
        ]
        ports = free_ports(len(planned))
        for seed, ((group, number), port) in enumerate(
            zip(planned, ports, strict=True)
        ):
            domain = f"domain-{number % self.layout.domains}"
            running = await self.processes.start(
                f"{group.service}-{number}",
                "crocusspindle_standins.target",
                *("--port", port, "--service", group.service),
                *("--slots", group.slots, "--work_ms", group.work_ms),
                *("--queue", group.queue, "--seed", seed),
            )
            self.targets.append(
                TargetProcess(group.service, port, domain, group.slots, running)
            )
        await asyncio.gather(
            *(
                until_served(self.session, f"{process.url}/-/health", process.running)
                for process in self.targets
            )
        )
        self._hosts = [
            {
                "target": target.name,
                "service": target.service,
                "domain": target.domain,
                "slots": target.slots,
                "state": "live",
            }
            for target in self.targets
        ]
        await self.platform(hosts=self._hosts)

    async def _start_nodes(self) -> None:
        await self._allocate_nodes()
        await asyncio.gather(*(self.start_node(node) for node in self.nodes))

    async def _allocate_nodes(self) -> None:
        for number in range(self.layout.nodes):
            caller, peer, operator, metrics = free_ports(4)
            domain = f"domain-{number % self.layout.domains}"
            self.nodes.append(
                Node(f"node-{number}", domain, caller, peer, operator, metrics)
            )
        if self.layout.relayed:
            await self._start_relays()

    async def _start_relays(self) -> None:
        """Start a relay for each node's peer port and for its platform connection."""
        for node in self.nodes:
            peer, platform = free_ports(2)
            to_node = Relay(HOST, peer, node.peer_port)
            to_platform = Relay(HOST, platform, self.platform_port)
            await to_node.start()
            await to_platform.start()
            self.peer_relays[node.name] = to_node
            self.platform_relays[node.name] = to_platform
            node.peer_advertise = f"{HOST}:{peer}"
            node.platform_url = f"http://{HOST}:{platform}"

    async def start_node(self, node: Node) -> None:
        """Start or restart a node."""
        node.settings = self.folder / f"{node.name}.yaml"
        node.settings.write_text(yaml.safe_dump(self._settings(node)))
        node.running = await self.processes.start(
            node.name, "crocusspindle", "node", "--settings", node.settings
        )
        await until_served(self.session, node.caller_url, node.running)

    def _settings(self, node: Node) -> dict[str, Any]:
        key_file = self.folder / "fleet.key"
        if not key_file.exists():
            # Written once: a node that is starting may be reading it.
            key_file.write_text(FLEET_KEY)
        peer: dict[str, Any] = {"host": HOST, "port": node.peer_port}
        if node.peer_advertise is not None:
            peer["advertise"] = node.peer_advertise
        return {
            "node": {"name": node.name, "domain": node.domain},
            "caller": {"host": HOST, "port": node.caller_port},
            "peer": peer,
            "operator": {
                "host": HOST,
                "port": node.operator_port,
                "principals": self._principals(),
            },
            "metrics": {"host": HOST, "port": node.metrics_port},
            "fleet": {"name": "stand-in", "key_file": str(key_file)},
            "platform": {
                "adapter": "http",
                "url": node.platform_url or self.platform_url,
            },
            "timings": dict(self.layout.timings),
            "log": {"format": "json"},
        }

    def _principals(self) -> list[dict[str, Any]]:
        services = [group.service for group in self.layout.groups]
        return [
            {
                "name": "operator",
                "role": "operator",
                "key_sha256": sha256(OPERATOR_KEY),
            },
            {
                "name": "owner",
                "role": "owner",
                "services": services,
                "key_sha256": sha256("owner-" + OPERATOR_KEY),
            },
        ]

    async def until_agreed(self) -> None:
        """Wait until every running node is eligible in a view that lists them all."""
        running_nodes = [
            node for node in self.nodes if node.running and node.running.alive
        ]
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while True:
                statuses = await asyncio.gather(
                    *(self.status(node) for node in running_nodes)
                )
                sizes = [len(status["members"]) for status in statuses]
                settled = all(
                    status["fit"]
                    and not any(member["silent"] for member in status["members"])
                    for status in statuses
                )
                if settled and set(sizes) == {len(running_nodes)}:
                    return
                await asyncio.sleep(0.1)

    async def status(self, node: Node) -> Any:
        """Return the status that a node reports to operators."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{node.operator_url}/v1/status"
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    async def audit(self, node: Node) -> str:
        """Return the audit trail that a node reports."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{node.operator_url}/v1/audit"
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.text()

    async def ticket(
        self, node: Node, principal: str = "operator", **content: Any
    ) -> int:
        """Submit the next ticket through a node and return its number."""
        number = self._ticket + 1
        document = {
            "number": number,
            "author": principal,
            "reason": "stand-in",
            **content,
        }
        await self.submit(node, document, principal)
        self._ticket = number
        return number

    async def submit(
        self, node: Node, document: Mapping[str, Any], principal: str = "operator"
    ) -> None:
        """Submit a ticket unchanged; raise ``RuntimeError`` if it is refused."""
        key = OPERATOR_KEY if principal == "operator" else "owner-" + OPERATOR_KEY
        async with self.session.post(
            f"{node.operator_url}/v1/tickets",
            data=json.dumps(document),
            headers={"Authorization": f"Bearer {key}"},
        ) as response:
            if response.status >= HTTPStatus.BAD_REQUEST:
                raise RuntimeError(f"{response.status}: {await response.text()}")

    async def until_applied(self, number: int, nodes: Iterable[Node]) -> None:
        """Wait until the nodes have applied a ticket."""
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            for node in nodes:
                while (await self.status(node))["applied_ticket"] < number:
                    await asyncio.sleep(0.05)

    async def platform(self, **control: Any) -> None:
        """Change the behavior of the platform's stand-in."""
        await put_json(self.session, f"{self.platform_url}/control", control)

    async def target_fault(self, target: TargetProcess, **faults: Any) -> None:
        """Set the faults of a target."""
        await put_json(self.session, f"{target.url}/-/control", faults)

    async def mark_leaving(self, target: TargetProcess) -> None:
        """Mark a target as leaving in the host list."""
        for host in self._hosts:
            if host["target"] == target.name:
                host["state"] = "leaving"
        await self.platform(hosts=self._hosts)

    async def executions(self) -> list[Any]:
        """Return what ran at each target that is still running."""
        live_targets = [target for target in self.targets if target.running.alive]
        return await asyncio.gather(
            *(
                get_json(self.session, f"{live_target.url}/-/executions")
                for live_target in live_targets
            )
        )

    def kill(self, node: Node) -> None:
        """Kill a node's process without a shutdown."""
        if node.running is not None:
            node.running.signal(signal.SIGKILL)
