"""Call a fleet as customers do, and judge every answer."""

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

WHERE: Final = "/.well-known/crocusspindle/where"
OUTCOME: Final = "Crocusspindle-Outcome"
RETRY_AFTER_MS: Final = "Crocusspindle-Retry-After-Ms"
ANSWER_S: Final = 15.0


class Verdict(Enum):
    """Tell what a caller got."""

    ANSWERED = "answered"
    WRONG = "wrong"
    OVER_RATE = "over_rate"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True)
class CustomerPlan:
    """Describe what one customer sends; rates are requests a second."""

    customer: str
    key: str
    rate_per_s: float
    burst: int
    sends_per_s: float
    services: tuple[str, ...]
    post_fraction: float = 0.2
    post_services: tuple[str, ...] = ()


@dataclass(frozen=True)
class Sent:
    """Record one request: when it was sent and ended, and what came of it.

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
        """Return the time from sending to the end of the answer."""
        return (self.ended_s - self.sent_s) * 1e3


@dataclass
class Addresses:
    """Keep the system's answer to where callers connect, for as long as allowed."""

    first: tuple[str, ...]
    known: tuple[str, ...] = ()
    until_s: float = 0.0


@dataclass
class Caller:
    """Send one customer's requests in a steady random stream."""

    plan: CustomerPlan
    session: aiohttp.ClientSession
    addresses: Addresses
    generator: random.Random
    records: list[Sent] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _number: int = 0

    async def run(self, until_s: float) -> None:
        """Send until a time, then wait for the last answers."""
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
        plan, draw = self.plan, self.generator
        is_post = draw.random() < plan.post_fraction
        services = (plan.post_services or plan.services) if is_post else plan.services
        request = f"{plan.customer}-{plan.key[:4]}-{self._number}"
        call = self.call(request, draw.choice(services), "POST" if is_post else "GET")
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, request: str, service: str, method: str) -> None:
        """Send one request and record what came of it.

        An address that refuses the connection has not seen the request; the next
        one is tried, as the callers' guide says.
        """
        began_s = time.monotonic()
        found = (Verdict.NO_ANSWER, 0, "no address")
        lost = False
        for address in (await self._where())[:3]:
            try:
                async with asyncio.timeout(ANSWER_S):
                    found = await self._send(address, request, service, method)
                break
            except aiohttp.ClientConnectorError:
                self.addresses.until_s = 0.0
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                found = (Verdict.NO_ANSWER, 0, type(error).__name__)
                lost = True
                if method != "GET":
                    break
        verdict, status, reason = found
        if lost and verdict in (Verdict.OVER_RATE, Verdict.REFUSED):
            # "Not run" speaks of the sending that it answers. The one before broke
            # off without a word and may have run.
            verdict = Verdict.UNKNOWN
        self.records.append(
            Sent(
                request=request,
                customer=self.plan.customer,
                key=self.plan.key,
                service=service,
                method=method,
                sent_s=began_s,
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
            return self._judge(response, content, request, service, body)

    def _judge(
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
            over = response.status == HTTPStatus.TOO_MANY_REQUESTS
            verdict = Verdict.OVER_RATE if over else Verdict.REFUSED
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

    async def _where(self) -> tuple[str, ...]:
        """Ask the system which addresses to use, and keep the answer a while."""
        now_s = time.monotonic()
        if now_s < self.addresses.until_s and self.addresses.known:
            return self.addresses.known
        headers = {"Authorization": f"Bearer {self.plan.key}"}
        for address in (*self.addresses.known, *self.addresses.first):
            try:
                async with (
                    asyncio.timeout(2),
                    self.session.get(
                        f"http://{address}{WHERE}", headers=headers
                    ) as response,
                ):
                    content: Any = await response.json()
                    if response.status != HTTPStatus.OK:
                        continue
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                continue
            found = tuple(entry["address"] for entry in content["addresses"])
            self.addresses.known = found
            self.addresses.until_s = now_s + content["max_age_ms"] / 1e3
            return found
        return self.addresses.known or self.addresses.first


def most_over_rate(
    records: list[Sent], executed: Collection[str], rate_per_s: float, burst: int
) -> float:
    """Return by how many requests a customer got over its bound, at most.

    A request that a target executed was admitted between its sending and its end.
    So those that lie whole inside of a window were admitted in it: more than burst +
    rate x length of them break the promise, whatever the delays were.
    """
    ran = [(one.sent_s, one.ended_s) for one in records if one.request in executed]
    ends = sorted(ran, key=lambda times: times[1])
    worst = float("-inf")
    for start in sorted({sent for sent, _ in ran}):
        inside = 0
        for sent, ended in ends:
            if sent < start:
                continue
            inside += 1
            worst = max(worst, inside - burst - rate_per_s * (ended - start))
    return worst
