"""Call a fleet as its customers do, and check every response."""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any, Final

import aiohttp

WHERE_PATH: Final = "/.well-known/crocusspindle/where"
OUTCOME: Final = "Crocusspindle-Outcome"
RETRY_AFTER_MS: Final = "Crocusspindle-Retry-After-Ms"
RESPONSE_TIMEOUT_S: Final = 15.0


class Verdict(Enum):
    """Classify what a caller received."""

    ANSWERED = "answered"
    WRONG = "wrong"
    OVER_RATE = "over_rate"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True)
class CustomerPlan:
    """Describe one customer's load; rates are in requests per second."""

    customer: str
    key: str
    rate_per_s: float
    burst: int
    sends_per_s: float
    services: tuple[str, ...]
    post_fraction: float = 0.2
    post_services: tuple[str, ...] = ()


@dataclass(frozen=True)
class RequestRecord:
    """Record one request: its start, its end and its result.

    Times are seconds of the caller's monotonic clock.
    """

    request: str
    customer: str
    key: str
    service: str
    method: str
    sent_s: float
    ended_s: float
    verdict: Verdict
    status: int = 0
    reason: str = ""
    operation: str = ""

    @property
    def latency_ms(self) -> float:
        """Return the time from the send to the end of the response."""
        return (self.ended_s - self.sent_s) * 1e3


@dataclass
class Addresses:
    """Cache the addresses that the fleet returned, until they expire."""

    initial: tuple[str, ...]
    current: tuple[str, ...] = ()
    until_s: float = 0.0


@dataclass
class Caller:
    """Send one customer's requests as a Poisson process."""

    plan: CustomerPlan
    session: aiohttp.ClientSession
    addresses: Addresses
    generator: random.Random
    records: list[RequestRecord] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _number: int = 0

    async def run(self, until_s: float) -> None:
        """Send until a time, then wait for the remaining responses."""
        next_s = time.monotonic()
        while True:
            next_s += self.generator.expovariate(self.plan.sends_per_s)
            if next_s >= until_s:
                break
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            self._start()
        await asyncio.gather(*self._tasks)

    def _start(self) -> None:
        self._number += 1
        plan, rng = self.plan, self.generator
        is_post = rng.random() < plan.post_fraction
        services = (plan.post_services or plan.services) if is_post else plan.services
        request = f"{plan.customer}-{plan.key[:4]}-{self._number}"
        call = self.call(request, rng.choice(services), "POST" if is_post else "GET")
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, request: str, service: str, method: str) -> None:
        """Send one request and record the result.

        An address that refuses the connection has not received the request, so the
        next one is tried, as the callers' guide requires.
        """
        started_s = time.monotonic()
        result = (Verdict.NO_ANSWER, 0, "no address")
        response_lost = False
        for address in (await self._look_up_addresses())[:3]:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    result = await self._send(address, request, service, method)
                break
            except aiohttp.ClientConnectorError:
                self.addresses.until_s = 0.0
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                result = (Verdict.NO_ANSWER, 0, type(error).__name__)
                response_lost = True
                if method != "GET":
                    break
        verdict, status, reason = result
        if response_lost and verdict in (Verdict.OVER_RATE, Verdict.REFUSED):
            # "Not run" covers only the attempt that it answers. The previous attempt
            # ended without a response and may have run.
            verdict = Verdict.UNKNOWN
        self.records.append(
            RequestRecord(
                request=request,
                customer=self.plan.customer,
                key=self.plan.key,
                service=service,
                method=method,
                sent_s=started_s,
                ended_s=time.monotonic(),
                verdict=verdict,
                status=status,
                reason=reason,
                operation=request if method == "POST" else "",
            )
        )

    async def _send(
        self, address: str, request: str, service: str, method: str
    ) -> tuple[Verdict, int, str]:
        headers = {
            "Authorization": f"Bearer {self.plan.key}",
            "Test-Request": request,
        }
        body = None
        if method == "POST":
            headers["Idempotency-Key"] = request
            body = f"order {request}".encode()
        url = f"http://{address}/{service}/item"
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            content = await response.read()
            return self._evaluate(response, content, request, service, body)

    def _evaluate(
        self,
        response: aiohttp.ClientResponse,
        content: bytes,
        request: str,
        service: str,
        body: bytes | None,
    ) -> tuple[Verdict, int, str]:
        outcome = response.headers.get(OUTCOME, "")
        if outcome == "not-run":
            reason = json.loads(content)["reason"]
            is_over_rate = response.status == HTTPStatus.TOO_MANY_REQUESTS
            verdict = Verdict.OVER_RATE if is_over_rate else Verdict.REFUSED
            return verdict, response.status, reason
        if outcome == "unknown":
            return Verdict.UNKNOWN, response.status, content.decode()[:200]
        if outcome != "ran":
            return Verdict.WRONG, response.status, "no outcome"
        expected = {
            "service": service,
            "customer": self.plan.customer,
            "request": request,
            "body_sha256": hashlib.sha256(body or b"").hexdigest(),
            "body_bytes": len(body or b""),
        }
        if json.loads(content) != expected:
            return Verdict.WRONG, response.status, content.decode()[:200]
        return Verdict.ANSWERED, response.status, ""

    async def _look_up_addresses(self) -> tuple[str, ...]:
        """Return the fleet's addresses, from the cache until it expires."""
        now_s = time.monotonic()
        if now_s < self.addresses.until_s and self.addresses.current:
            return self.addresses.current
        headers = {"Authorization": f"Bearer {self.plan.key}"}
        for address in (*self.addresses.current, *self.addresses.initial):
            try:
                async with (
                    asyncio.timeout(2),
                    self.session.get(
                        f"http://{address}{WHERE_PATH}", headers=headers
                    ) as response,
                ):
                    content: Any = await response.json()
                    if response.status != HTTPStatus.OK:
                        continue
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                continue
            fleet_addresses = tuple(entry["address"] for entry in content["addresses"])
            self.addresses.current = fleet_addresses
            self.addresses.until_s = now_s + content["max_age_ms"] / 1e3
            return fleet_addresses
        return self.addresses.current or self.addresses.initial


def max_excess_requests(
    records: list[RequestRecord],
    executed: Collection[str],
    rate_per_s: float,
    burst: int,
) -> float:
    """Return the largest number of requests by which a customer exceeded its bound.

    A request that a target executed was admitted between its send and its end. So
    requests that lie entirely within a window were admitted in it: more of them than
    burst + rate x window length violate the guarantee, whatever the delays were.
    """
    ran = [
        (record.sent_s, record.ended_s)
        for record in records
        if record.request in executed
    ]
    by_end = sorted(ran, key=lambda times: times[1])
    max_excess = float("-inf")
    for start in sorted({sent for sent, _ in ran}):
        inside = 0
        for sent, ended in by_end:
            if sent < start:
                continue
            inside += 1
            max_excess = max(max_excess, inside - burst - rate_per_s * (ended - start))
    return max_excess
