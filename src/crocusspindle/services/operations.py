"""Ask for leave to run a keyed operation, and report how it ended."""

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
from crocusspindle.services.handed_over import GivenUp
from crocusspindle.services.ledger import (
    LedgerService,
    answer_from,
    answer_message,
    attempt_message,
)
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.wire import fleet_pb2 as wire

BEGIN_TIMEOUT_S: Final = 3.0
"""A ledger node asks its peer for 0.25 s and the table up to four times with a
second each; most answers come in a few ms."""

AGAIN_AFTER_S: Final = 0.5
"""A heartbeat, in which the next view gets round. Once only: while a holder is dead
the caller should rather know at once, and come back when the view has changed."""

SILENT: Final = "operation-holders"
NOT_NOW: Final = "operation-not-now"
UNDECIDED: Final = frozenset({SILENT, NOT_NOW})
SETTLE_TRIES: Final = 4
SETTLE_TIMEOUT_S: Final = 1.0
RETRY_MS: Final = 1_000.0
KEY_REUSED: Final = "operation-key-reused"


@dataclass(frozen=True)
class Begun:
    """Hold the leave to send an operation once, up to a deadline."""

    name: OperationName
    attempt: Attempt
    holder: MemberId
    dispatch_by_ms: float


class OperationsService(Service):
    """Speak for the operations of this entry's callers with their ledger nodes."""

    name = "operations"
    needs = ("control", "peers", "ledger")

    def __init__(
        self, control: ControlService, peers: Peers, ledger: LedgerService
    ) -> None:
        self._control = control
        self._peers = peers
        self._ledger = ledger
        self._numbers = count(1)
        self._settling: set[asyncio.Task[None]] = set()

    async def begin(
        self, name: OperationName, fingerprint: bytes
    ) -> Begun | StoredResponse | GivenUp:
        """Return leave to run, the answer of the earlier run, or why not.

        Holders that cannot decide are asked once more. A holder that stops as
        planned is silent for the moment until the others know the next view, and
        an order of that moment need not go back to its caller.
        """
        found = await self._begin_once(name, fingerprint)
        if not isinstance(found, GivenUp) or found.reason not in UNDECIDED:
            return found
        await asyncio.sleep(AGAIN_AFTER_S)
        return await self._begin_once(name, fingerprint)

    async def _begin_once(
        self, name: OperationName, fingerprint: bytes
    ) -> Begun | StoredResponse | GivenUp:
        """Ask the first holder in reach.

        Each attempt is asked of one holder only. An attempt whose reply is lost is
        released, since this entry will never send it.
        """
        word = GivenUp(Outcome.NOT_RUN, SILENT, now_ms() + RETRY_MS)
        for holder in self._ledger.holders(name):
            if not self._reachable(holder):
                continue
            attempt = Attempt(self._control.me.member, AttemptId(next(self._numbers)))
            asked_ms = now_ms()
            try:
                async with asyncio.timeout(BEGIN_TIMEOUT_S):
                    reply = await self._ask(holder, name, attempt, fingerprint)
            except PEER_FAILURES:
                self._settle(Begun(name, attempt, holder, 0.0), None)
                return word
            return _begun(reply, name, attempt, holder, asked_ms)
        return word

    def finished(self, begun: Begun, answer: StoredResponse) -> None:
        """Report the answer of the one run."""
        self._settle(begun, answer)

    def released(self, begun: Begun) -> None:
        """Report that the operation certainly was not and will not be sent."""
        self._settle(begun, None)

    def _reachable(self, holder: MemberId) -> bool:
        return holder == self._control.me.member or self._peers.connected(holder)

    async def _ask(
        self,
        holder: MemberId,
        name: OperationName,
        attempt: Attempt,
        fingerprint: bytes,
    ) -> wire.BeginReply:
        if holder == self._control.me.member:
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

    def _settle(self, begun: Begun, answer: StoredResponse | None) -> None:
        task = asyncio.create_task(self._report(begun, answer))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def drain(self) -> None:
        """Report what is still to be reported ahead of a planned stop."""
        await asyncio.gather(*self._settling, return_exceptions=True)

    async def _report(self, begun: Begun, answer: StoredResponse | None) -> None:
        # A report that is lost costs a caller that repeats its key the answer; it
        # is told "unknown" and nothing runs again.
        if begun.holder == self._control.me.member:
            self._ledger.settle(begun.name, begun.attempt, answer)
            return
        request = wire.SettleRequest(
            customer=begun.name.customer,
            key=begun.name.key,
            attempt=attempt_message(begun.attempt),
        )
        if answer is not None:
            request.answer.CopyFrom(answer_message(answer))
        for number in range(SETTLE_TRIES):
            with suppress(*PEER_FAILURES):
                async with asyncio.timeout(SETTLE_TIMEOUT_S):
                    await self._peers.stub(begun.holder).Settle(
                        request, metadata=self._peers.metadata
                    )
                return
            await asyncio.sleep(0.1 * 2**number)


def fingerprint_of(method: str, path: str, body: bytes) -> bytes:
    """Return a digest by which two requests under one key are told apart."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def begin_reply(decision: Decision) -> wire.BeginReply:
    """Return a ledger's decision as peers send it."""
    match decision:
        case Granted():
            within_ms = max(0.0, decision.dispatch_by_ms - now_ms())
            return wire.BeginReply(granted=wire.Granted(dispatch_within_ms=within_ms))
        case AlreadyRan(answer):
            return wire.BeginReply(already_ran=answer_message(answer))
        case NotRun():
            # Only a word that covers earlier attempts, too, may say "not run".
            known = Outcome.NOT_RUN if decision.covers_earlier else Outcome.UNKNOWN
            return _withheld(known, NOT_NOW, decision.retry_at_ms)
        case InProgress(retry_at_ms):
            return _withheld(Outcome.UNKNOWN, "operation-in-progress", retry_at_ms)
        case OutcomeUnknown():
            return _withheld(Outcome.UNKNOWN, "operation-unknown", decision.retry_at_ms)
        case FingerprintMismatch():
            return _withheld(Outcome.NOT_RUN, KEY_REUSED, now_ms())
        case _:
            raise TypeError(f"{decision} is no final decision")


def _withheld(outcome: Outcome, reason: str, retry_at_ms: float) -> wire.BeginReply:
    return wire.BeginReply(
        withheld=wire.Withheld(
            outcome=outcome.value,
            reason=reason,
            retry_after_ms=max(0.0, retry_at_ms - now_ms()),
        )
    )


def _begun(
    reply: wire.BeginReply,
    name: OperationName,
    attempt: Attempt,
    holder: MemberId,
    asked_ms: float,
) -> Begun | StoredResponse | GivenUp:
    kind = reply.WhichOneof("decision")
    if kind == "granted":
        # Counted from our question: delay on the way can only shorten the leave.
        dispatch_by_ms = asked_ms + reply.granted.dispatch_within_ms
        return Begun(name, attempt, holder, dispatch_by_ms)
    if kind == "already_ran":
        return answer_from(reply.already_ran)
    withheld = reply.withheld
    return GivenUp(
        Outcome(withheld.outcome),
        withheld.reason,
        now_ms() + withheld.retry_after_ms,
    )
