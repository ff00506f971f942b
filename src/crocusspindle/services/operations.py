"""Request permission to run a keyed operation, and report its outcome."""

import asyncio
import hashlib
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.decisions import Outcome
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Attempt,
    Decision,
    FingerprintMismatch,
    Granted,
    InProgress,
    NotRun,
    OperationName,
    OutcomeUnknown,
    StoredResponse,
)
from crocusspindle.ids import AttemptId, MemberId
from crocusspindle.kernel import Service
from crocusspindle.services.control import ControlService
from crocusspindle.services.handed_over_request import RequestFailure
from crocusspindle.services.ledger import (
    LedgerService,
    attempt_message,
    response_from_message,
    response_message,
)
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.wire import fleet_pb2 as wire

BEGIN_TIMEOUT_S: Final = 3.0
"""A ledger node waits 0.25 s for its peer and makes up to four table calls of a second
each; most replies come in a few ms. A slower decision is given up and its attempt
released."""

UNDECIDED_RETRY_S: Final = 0.5
"""Delay before the only retry: a heartbeat, in which the next view spreads. If a holder
has failed, the caller is refused at once and retries when the view has changed."""

HOLDERS_SILENT: Final = "operation-holders"
NOT_NOW: Final = "operation-not-now"
UNDECIDED: Final = frozenset({HOLDERS_SILENT, NOT_NOW})
SETTLE_ATTEMPTS: Final = 4
SETTLE_TIMEOUT_S: Final = 1.0
RETRY_MS: Final = 1_000.0
KEY_REUSED: Final = "operation-key-reused"


@dataclass(frozen=True)
class OperationGrant:
    """Permit sending an operation once, until a deadline."""

    name: OperationName
    attempt: Attempt
    holder: MemberId
    dispatch_by_ms: float


class OperationsService(Service):
    """Request decisions of ledger nodes on operations of this entry's callers."""

    name = "operations"
    needs = ("control", "peers", "ledger")

    def __init__(
        self, control: ControlService, peers: Peers, ledger: LedgerService
    ) -> None:
        self._control = control
        self._peers = peers
        self._ledger = ledger
        self._numbers = count(1)
        self._report_tasks: set[asyncio.Task[None]] = set()

    async def begin(
        self, name: OperationName, fingerprint: bytes
    ) -> OperationGrant | StoredResponse | RequestFailure:
        """Return a grant, the response of the earlier run, or the refusal.

        Holders that cannot decide get one retry. A holder in a planned stop is silent
        until the others have the next view, and an operation that arrives meanwhile
        need not be refused.
        """
        result = await self._begin_once(name, fingerprint)
        if not isinstance(result, RequestFailure) or result.reason not in UNDECIDED:
            return result
        await asyncio.sleep(UNDECIDED_RETRY_S)
        return await self._begin_once(name, fingerprint)

    async def _begin_once(
        self, name: OperationName, fingerprint: bytes
    ) -> OperationGrant | StoredResponse | RequestFailure:
        """Request a decision from the first reachable holder.

        Each attempt goes to one holder only. An attempt whose reply is lost is
        released, since this entry will never send it.
        """
        unreached = RequestFailure(Outcome.NOT_RUN, HOLDERS_SILENT, now_ms() + RETRY_MS)
        for holder in self._ledger.holders(name):
            if not self._reachable(holder):
                continue
            attempt = Attempt(
                self._control.own_member.member, AttemptId(next(self._numbers))
            )
            sent_ms = now_ms()
            try:
                async with asyncio.timeout(BEGIN_TIMEOUT_S):
                    reply = await self._request_decision(
                        holder, name, attempt, fingerprint
                    )
            except PEER_FAILURES:
                self._start_report(OperationGrant(name, attempt, holder, 0.0), None)
                return unreached
            return _decode_reply(reply, name, attempt, holder, sent_ms)
        return unreached

    def report_finished(self, grant: OperationGrant, response: StoredResponse) -> None:
        """Report the response of the granted run."""
        self._start_report(grant, response)

    def report_released(self, grant: OperationGrant) -> None:
        """Report that the operation was not sent and will not be."""
        self._start_report(grant, None)

    def _reachable(self, holder: MemberId) -> bool:
        return holder == self._control.own_member.member or self._peers.connected(
            holder
        )

    async def _request_decision(
        self,
        holder: MemberId,
        name: OperationName,
        attempt: Attempt,
        fingerprint: bytes,
    ) -> wire.BeginReply:
        if holder == self._control.own_member.member:
            decision = await self._ledger.begin(name, attempt, fingerprint)
            return begin_reply(decision)
        request = wire.BeginRequest(
            customer=name.customer,
            key=name.key,
            attempt=attempt_message(attempt),
            fingerprint=fingerprint,
        )
        return await self._peers.stub(holder).Begin(
            request, metadata=self._peers.metadata
        )

    def _start_report(
        self, grant: OperationGrant, response: StoredResponse | None
    ) -> None:
        task = asyncio.create_task(self._report(grant, response))
        self._report_tasks.add(task)
        task.add_done_callback(self._report_tasks.discard)

    async def drain(self) -> None:
        """Wait for pending reports before a planned stop."""
        await asyncio.gather(*self._report_tasks, return_exceptions=True)

    async def _report(
        self, grant: OperationGrant, response: StoredResponse | None
    ) -> None:
        # After a lost report, a caller that sends the key again gets "unknown" instead
        # of the response; nothing runs twice.
        if grant.holder == self._control.own_member.member:
            self._ledger.settle(grant.name, grant.attempt, response)
            return
        request = wire.SettleRequest(
            customer=grant.name.customer,
            key=grant.name.key,
            attempt=attempt_message(grant.attempt),
        )
        if response is not None:
            request.answer.CopyFrom(response_message(response))
        for number in range(SETTLE_ATTEMPTS):
            with suppress(*PEER_FAILURES):
                async with asyncio.timeout(SETTLE_TIMEOUT_S):
                    await self._peers.stub(grant.holder).Settle(
                        request, metadata=self._peers.metadata
                    )
                return
            await asyncio.sleep(0.1 * 2**number)


def fingerprint_of(method: str, path: str, body: bytes) -> bytes:
    """Return a digest that distinguishes two requests under one key."""
    digest = hashlib.sha256()
    for field in (method.encode(), path.encode(), body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()


def begin_reply(decision: Decision) -> wire.BeginReply:
    """Encode a ledger's decision for a peer."""
    match decision:
        case Granted():
            within_ms = max(0.0, decision.dispatch_by_ms - now_ms())
            return wire.BeginReply(granted=wire.Granted(dispatch_within_ms=within_ms))
        case AlreadyRan(response):
            return wire.BeginReply(already_ran=response_message(response))
        case NotRun():
            # "Not run" is correct only if the decision covers earlier attempts, too.
            outcome = Outcome.NOT_RUN if decision.covers_earlier else Outcome.UNKNOWN
            return _withheld_reply(outcome, NOT_NOW, decision.retry_at_ms)
        case InProgress(retry_at_ms):
            return _withheld_reply(
                Outcome.UNKNOWN, "operation-in-progress", retry_at_ms
            )
        case OutcomeUnknown():
            return _withheld_reply(
                Outcome.UNKNOWN, "operation-unknown", decision.retry_at_ms
            )
        case FingerprintMismatch():
            return _withheld_reply(Outcome.NOT_RUN, KEY_REUSED, now_ms())
        case _:
            raise TypeError(f"{decision} is not a final decision")


def _withheld_reply(
    outcome: Outcome, reason: str, retry_at_ms: float
) -> wire.BeginReply:
    return wire.BeginReply(
        withheld=wire.Withheld(
            outcome=outcome.value,
            reason=reason,
            retry_after_ms=max(0.0, retry_at_ms - now_ms()),
        )
    )


def _decode_reply(
    reply: wire.BeginReply,
    name: OperationName,
    attempt: Attempt,
    holder: MemberId,
    sent_ms: float,
) -> OperationGrant | StoredResponse | RequestFailure:
    kind = reply.WhichOneof("decision")
    if kind == "granted":
        # Counted from when the request was sent: delay can only shorten the grant.
        dispatch_by_ms = sent_ms + reply.granted.dispatch_within_ms
        return OperationGrant(name, attempt, holder, dispatch_by_ms)
    if kind == "already_ran":
        return response_from_message(reply.already_ran)
    withheld = reply.withheld
    return RequestFailure(
        Outcome(withheld.outcome),
        withheld.reason,
        now_ms() + withheld.retry_after_ms,
    )
