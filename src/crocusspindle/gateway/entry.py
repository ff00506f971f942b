"""Serve one caller's request: admit it, have it sent, answer."""

import asyncio
from dataclasses import dataclass
from typing import ClassVar, Final

from aiohttp import web

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import Configuration, CustomerRule
from crocusspindle.core.quota_keeper import Admitted, OverRate
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.core.versioned_state import VersionedState
from crocusspindle.gateway import instruments
from crocusspindle.gateway.admission import Admission
from crocusspindle.gateway.answers import Refusal, refusal_response, send_answer
from crocusspindle.gateway.case import Case
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.knowledge import NEVER_MS, Knowledge
from crocusspindle.gateway.quota import GAP_RETRY_MS, Quota
from crocusspindle.gateway.sender import Sent
from crocusspindle.gateway.sending import Sending
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger
from crocusspindle.metrics import Metrics

WAIT_PART: Final = 0.125
"""The part of the aim that a request may wait for its customer's next token."""


PATIENCE_PART: Final = 0.5
"""The part of the aim for which a request may wait for a keeper that is expected: usual
work still ends within the other half."""


@dataclass(slots=True)
class Obtained:
    """Hold what a request came to, before any of it goes to its caller."""

    request_id: str
    began_ms: float
    case: Case | None = None
    sent: Sent | None = None
    refusal: Refusal | None = None


class Entry(Service):
    """Serve callers' requests."""

    name: ClassVar[str] = "entry"
    needs: ClassVar[tuple[str, ...]] = ("knowledge", "placing", "quota", "crashes")

    def __init__(
        self,
        admission: Admission,
        dialect: Dialect,
        knowledge: Knowledge,
        sending: Sending,
        quota: Quota,
        crashes: CrashSharing,
        metrics: Metrics,
    ) -> None:
        self._crashes = crashes
        self._admission = admission
        self._dialect = dialect
        self._knowledge = knowledge
        self._sending = sending
        self._quota = quota
        self._metrics = metrics
        self._log = Logger("entry")
        self.leaving = False
        self.running = 0

    async def start(self) -> None:
        """Open the connections to targets."""
        await self._sending.start()

    async def stop(self) -> None:
        """Close the connections to targets."""
        await self._sending.stop()

    def begin(self, request: web.BaseRequest) -> asyncio.Task[Obtained] | None:
        """Begin with a request that must wait for its turn to be answered.

        Return None if it has to wait with all of its work: it may run once only, and
        its connection may still end before its turn.
        """
        if self.leaving or not self._admission.is_idempotent(request):
            return None
        return asyncio.create_task(self._obtain(request))

    async def handle(
        self, request: web.BaseRequest, begun: asyncio.Task[Obtained] | None = None
    ) -> web.StreamResponse:
        """Answer one request, which may have been begun before."""
        obtained = await (self._obtain(request) if begun is None else begun)
        self.running += 1
        try:
            return await self._respond(request, obtained)
        finally:
            self.running -= 1

    async def _obtain(self, request: web.BaseRequest) -> Obtained:
        request_id = request.headers.get(self._dialect.request_id, "")
        obtained = Obtained(request_id, now_ms())
        self.running += 1
        try:
            obtained.case = await self._admission.admit(
                request, request_id, obtained.began_ms
            )
            self._check_held(obtained.case)
            if obtained.case.customer is not None:
                await self._spend(obtained.case, obtained.case.customer)
            obtained.sent = await self._sending.send(obtained.case)
        except Refusal as refusal:
            obtained.refusal = refusal
        except asyncio.CancelledError:
            if obtained.case is not None:
                self._log_end(obtained.case, "caller left")
            raise
        finally:
            self.running -= 1
        return obtained

    def _check_held(self, case: Case) -> None:
        refused = self._crashes.refusal(case.content)
        if refused is not None:
            raise Refusal(503, refused.reason, refused.retry_after_ms)

    async def _respond(
        self, request: web.BaseRequest, obtained: Obtained
    ) -> web.StreamResponse:
        case, refusal = obtained.case, obtained.refusal
        if case is not None and obtained.sent is not None:
            try:
                return await self._answer(request, case, obtained.sent)
            except asyncio.CancelledError:
                self._log_end(case, "caller left")
                raise
            except Refusal as late:
                refusal = late
        assert refusal is not None
        if case is not None:
            refusal.case_fields = self._fields(case)
        self._metrics.add(instruments.REFUSED, reason=refusal.reason)
        self._log_refusal(obtained, refusal)
        return refusal_response(refusal, obtained.request_id, self._dialect)

    async def _spend(self, case: Case, customer: CustomerRule) -> None:
        limit_ms = case.route.aim_ms * WAIT_PART
        patient_until_ms = case.began_ms + case.route.aim_ms * PATIENCE_PART
        answer = await self._quota.spend(customer, limit_ms, patient_until_ms)
        if isinstance(answer, OverRate):
            raise Refusal(429, "rate", answer.retry_after_ms)
        if not isinstance(answer, Admitted):
            raise Refusal(503, "no-keeper", GAP_RETRY_MS)
        case.quota_wait_ms = answer.wait_ms
        if answer.wait_ms > 0:
            await asyncio.sleep(answer.wait_ms / 1e3)

    async def _answer(
        self, request: web.BaseRequest, case: Case, sent: Sent
    ) -> web.StreamResponse:
        if sent.answer is None:
            raise _failure(case, sent)
        response = await send_answer(request, sent.answer, case.ends_ms)
        latency_ms = now_ms() - case.began_ms
        self._metrics.record(
            instruments.REQUEST_MS, latency_ms, route=case.route.kind.value
        )
        self._log_end(case, str(response.status))
        return response

    def _fields(self, case: Case) -> dict[str, object]:
        configuration = self._knowledge.configuration
        return {
            "route": case.route.name,
            "kind": case.route.kind.value,
            "aim_ms": round(case.route.aim_ms),
            "customer": case.customer.customer if case.customer else None,
            "keeper": self._quota.keeper_of(case.customer) if case.customer else None,
            "view": self._knowledge.view.version,
            "sends": case.sends,
            "body_bytes": case.body_bytes,
            "content": case.content,
            "quota_wait_ms": round(case.quota_wait_ms),
            "version": configuration.version,
            "proof_age_ms": _age_ms(configuration),
        }

    def _log_end(self, case: Case, outcome: str) -> None:
        self._metrics.add(instruments.ANSWERS, outcome=outcome)
        self._log.info(
            "request ended",
            extra={
                "request": case.request_id,
                "outcome": outcome,
                "took_ms": round(now_ms() - case.began_ms),
                **self._fields(case),
            },
        )

    def _log_refusal(self, obtained: Obtained, refusal: Refusal) -> None:
        configuration = self._knowledge.configuration
        self._log.info(
            "request refused",
            extra={
                "request": obtained.request_id,
                "outcome": str(refusal.status),
                "reason": refusal.reason,
                "retry_after_ms": refusal.retry_after_ms,
                "took_ms": round(now_ms() - obtained.began_ms),
                "version": configuration.version,
                "proof_age_ms": _age_ms(configuration),
                **refusal.case_fields,
            },
        )


def _failure(case: Case, sent: Sent) -> Refusal:
    if not case.may_have_run:
        return Refusal(503, f"target-{sent.ending.value}", 200.0)
    if sent.ending is AttemptOutcome.SILENT:
        return Refusal(504, "target-silent")
    return Refusal(502, f"target-{sent.ending.value}")


def _age_ms(belief: VersionedState[Configuration]) -> int:
    return round(min(belief.age_ms(now_ms()), NEVER_MS))
