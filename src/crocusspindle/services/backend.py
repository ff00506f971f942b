"""Do the work of the operator port: submit tickets, keep the trail, tell status."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, replace
from typing import Any, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.members import MemberView
from crocusspindle.core.ticket_schema import (
    Ticket,
    content_hash,
    decode_ticket,
    encode_ticket,
    parse_ticket,
)
from crocusspindle.core.tickets import (
    Submission,
    SubmissionOutcome,
    SubmissionStep,
    check_references,
    in_force,
)
from crocusspindle.errors import (
    Finding,
    NotFitError,
    PlatformUnavailableError,
    PlatformUnknownError,
    TicketConflictError,
    TicketError,
)
from crocusspindle.ids import MemberId, TicketNumber
from crocusspindle.kernel import Service
from crocusspindle.platform.adapter import ABSENT, Platform, Row
from crocusspindle.services.audit import AuditTrail
from crocusspindle.services.control import ControlService, unix_ms
from crocusspindle.services.follower import TICKETS, FollowerService, ticket_key
from crocusspindle.services.home import HomeService
from crocusspindle.services.ledger import LedgerService
from crocusspindle.services.operator_api import (
    AuditEntry,
    SubmitResult,
    TicketRecord,
    TicketSummary,
    Touch,
    TouchKind,
)
from crocusspindle.services.peers import Peers
from crocusspindle.services.rates import RatesService
from crocusspindle.services.ticket_apply import (
    DirectoryFacts,
    changes_of,
    states_of,
)
from crocusspindle.settings_schema import Principal, TimingSettings

CUT_OFF: Final = "this node may be cut off; ask another one"
RETRY_MS: Final = 1_000.0
HEARTBEATS_WAITED: Final = 6
SUBMISSION_MS: Final = 8_000.0
"""Six platform calls of a second each and a margin."""


class BackendService(Service):
    """Answer operators from this node and the platform."""

    name = "backend"
    needs = ("control", "peers", "rates", "home", "ledger", "follower")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        rates: RatesService,
        home: HomeService,
        ledger: LedgerService,
        follower: FollowerService,
        platform: Platform,
        timings: TimingSettings,
    ) -> None:
        self._control = control
        self._peers = peers
        self._rates = rates
        self._home = home
        self._ledger = ledger
        self._follower = follower
        self._platform = platform
        self._timings = timings
        self._audit = AuditTrail(platform, timings.platform_timeout_ms)

    async def validate(self, document: bytes) -> TicketSummary:
        """Return what a ticket would change against the state before its number."""
        ticket = parse_ticket(document, "ticket")
        await self._follower.catch_up()
        self._check_state(ticket)
        return TicketSummary(ticket.number, content_hash(ticket).hex(), touches(ticket))

    async def submit(self, document: bytes, principal: Principal) -> SubmitResult:
        """Record a ticket; the same content again succeeds."""
        ticket = replace(parse_ticket(document, "ticket"), author=principal.name)
        await self._follower.catch_up()
        repeated = self._control.log.applied >= ticket.number
        if not repeated:
            self._check_state(ticket)
        before = states_of(ticket, self._control.directory)
        await self._until_allowed()
        submission = Submission(ticket, now_ms() + SUBMISSION_MS)
        while submission.step is not SubmissionStep.DONE:
            await self._step(submission)
        self._conclude(submission)
        self._control.take_tickets([ticket])
        if not repeated:
            await self._audit.write(ticket, principal, before, unix_ms())
        return SubmitResult(ticket.number, content_hash(ticket).hex(), repeated)

    async def ticket(self, number: TicketNumber) -> TicketRecord | None:
        """Return one ticket, or None when the number is not taken."""
        row = await self._platform.get(TICKETS, ticket_key(number), self._deadline_ms())
        if row is None:
            return None
        return (await self._records([row]))[0]

    async def tickets(self, after: TicketNumber, limit: int) -> Sequence[TicketRecord]:
        """Return tickets with numbers above ``after``, in order."""
        rows = await self._platform.read_range(
            TICKETS, ticket_key(after), limit, self._deadline_ms()
        )
        return await self._records(rows)

    async def audit(self, after: TicketNumber, limit: int) -> Sequence[AuditEntry]:
        """Return audit entries of tickets above ``after``, in order."""
        return await self._audit.read(after, limit, self._in_force)

    async def status(self) -> Mapping[str, Any]:
        """Return what the node knows about the fleet, ready for JSON."""
        control, now = self._control, now_ms()
        view = control.view
        return {
            "node": control.me.member,
            "domain": control.me.domain,
            "fit": control.is_eligible(),
            "reason": control.fitness.reason(now).value,
            "stamp_age_ms": control.fitness.stamp_age_ms(now),
            "draining": control.draining,
            "applied_ticket": control.log.applied,
            "head_seen": control.log.head_seen,
            "in_force": self._in_force(control.log.head_seen),
            "view": 0 if view is None else view.number,
            "members": self._members(view),
            "groups": self._home.status(),
            "shares": asdict(self._rates.status()),
            "operations_whole": self._ledger.covers_window_for_all_keys(),
            "counts": control.directory.counts(),
        }

    def _deadline_ms(self) -> float:
        return now_ms() + self._timings.platform_timeout_ms

    def _check_state(self, ticket: Ticket) -> None:
        """Check a ticket against the state before it; raise ``TicketError``."""
        if not self._control.is_eligible():
            raise NotFitError(CUT_OFF, RETRY_MS)
        expected = self._control.log.applied + 1
        if ticket.number < expected:
            return
        if ticket.number > expected:
            message = f"the next number is {expected}"
            raise TicketError([Finding("ticket", "number", message)])
        directory = self._control.directory
        findings = [
            *check_references(ticket, DirectoryFacts(directory)),
            *directory.check(changes_of(ticket)),
        ]
        if findings:
            raise TicketError(findings)

    async def _until_allowed(self) -> None:
        """Wait for a majority that knows the present view.

        For about two heartbeats after each change of view no majority has shown
        that it knows it; an operator should not have to try again for that.
        """
        give_up_ms = now_ms() + self._timings.heartbeat_ms * HEARTBEATS_WAITED
        while now_ms() >= self._control.fitness.changes_until_ms(now_ms()):
            if now_ms() >= give_up_ms:
                raise NotFitError(CUT_OFF, RETRY_MS)
            await asyncio.sleep(self._timings.heartbeat_ms / 4e3)

    async def _step(self, submission: Submission) -> None:
        number = submission.ticket.number
        key = ticket_key(number)
        try:
            if submission.step is SubmissionStep.READ_PREDECESSOR:
                before = ticket_key(TicketNumber(number - 1))
                found = await self._platform.get(TICKETS, before, self._deadline_ms())
                submission.predecessor_read(found is not None)
            elif submission.step is SubmissionStep.PUT:
                content = encode_ticket(submission.ticket)
                result = await self._platform.put(
                    TICKETS, key, content, ABSENT, self._deadline_ms()
                )
                if result.applied:
                    submission.put_applied()
                else:
                    self._take_row(submission, result.current)
            else:
                row = await self._platform.get(TICKETS, key, self._deadline_ms())
                self._take_row(submission, row)
        except PlatformUnavailableError:
            submission.call_unavailable(now_ms())
        except PlatformUnknownError:
            submission.call_unknown(now_ms())

    def _take_row(self, submission: Submission, row: Row | None) -> None:
        if row is None:
            submission.row_absent()
        else:
            submission.row_found(content_hash(decode_ticket(row.value)))

    def _conclude(self, submission: Submission) -> None:
        number, outcome = submission.ticket.number, submission.outcome
        if outcome is SubmissionOutcome.ACCEPTED:
            return
        if outcome is SubmissionOutcome.CONFLICT:
            raise TicketConflictError(f"ticket {number} already holds other content")
        if outcome is SubmissionOutcome.GAP:
            message = f"ticket {number - 1} is not there yet"
            raise TicketError([Finding("ticket", "number", message)])
        if outcome is SubmissionOutcome.UNKNOWN:
            raise PlatformUnknownError(f"ticket {number} may have been recorded")
        raise PlatformUnavailableError(f"ticket {number} was not recorded")

    async def _records(self, rows: Sequence[Row]) -> list[TicketRecord]:
        return [self._record(row) for row in rows]

    def _record(self, row: Row) -> TicketRecord:
        ticket = decode_ticket(row.value)
        return TicketRecord(
            number=ticket.number,
            sha256=content_hash(ticket).hex(),
            submitted_by=ticket.author,
            in_force=self._in_force(ticket.number),
            waiting_for=self._waiting_for(ticket.number),
            document=row.value.decode(),
        )

    def _confirmations(self) -> dict[MemberId, TicketNumber]:
        found = {self._control.me.member: self._control.log.applied}
        for member in self._peers.members():
            standing = self._peers.standing(member.member)
            if standing is not None:
                found[member.member] = TicketNumber(standing.applied_ticket)
        return found

    def _unfit(self) -> set[MemberId]:
        """Return members that certainly refuse new work by now.

        One that has not echoed for longer than a stamp lasts either is unfit or
        has read the ticket log since.
        """
        limit_ms = self._timings.freshness_ms * 1.25
        return {
            member.member
            for member in self._peers.members()
            if self._peers.silence_ms(member.member) > limit_ms
        }

    def _in_force(self, number: TicketNumber) -> bool:
        view = self._control.view
        if view is None:
            return False
        return in_force(number, self._confirmations(), view, self._unfit())

    def _waiting_for(self, number: TicketNumber) -> tuple[str, ...]:
        confirmed, unfit = self._confirmations(), self._unfit()
        view = self._control.view
        members = () if view is None else view.members
        return tuple(
            member.member
            for member in members
            if confirmed.get(member.member, 0) < number and member.member not in unfit
        )

    def _members(self, view: MemberView | None) -> list[dict[str, Any]]:
        found = []
        for member in () if view is None else view.members:
            standing = self._peers.standing(member.member)
            own = member.member == self._control.me.member
            found.append(
                {
                    "member": member.member,
                    "domain": member.domain,
                    "caller_address": member.caller_address,
                    "silent": not own and not self._peers.connected(member.member),
                    "fit": self._control.is_eligible()
                    if own
                    else standing is not None and standing.fit,
                    "draining": standing is not None and standing.draining,
                    "applied_ticket": self._control.log.applied
                    if own
                    else 0
                    if standing is None
                    else standing.applied_ticket,
                    "unfit_reason": "" if standing is None else standing.unfit_reason,
                }
            )
        return found


def touches(ticket: Ticket) -> tuple[Touch, ...]:
    """Return what a ticket changes, by its place in the document."""
    found = [
        Touch(
            TouchKind.APPROVAL_GIVEN,
            f"approvals.{approval.service}.{approval.customer}",
            approval.service,
            approved_by=approval.approved_by,
        )
        for approval in ticket.set.approvals
    ]
    found += [
        Touch(
            TouchKind.APPROVAL_WITHDRAWN,
            f"approvals.{approval.service}.{approval.customer}",
            approval.service,
        )
        for approval in ticket.remove.approvals
    ]
    content = json.loads(encode_ticket(ticket))
    found += [
        Touch(TouchKind.OTHER, f"{kind}.{name}")
        for kind in ("customers", "keys", "services", "routes")
        for name in content[kind]
    ]
    return tuple(found)
