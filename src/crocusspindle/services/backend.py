"""Implement the operator port: tickets, the audit trail and the fleet's status."""

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
    NodeIneligibleError,
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
from crocusspindle.services.coordinator import CoordinatorService
from crocusspindle.services.follower import TICKETS, FollowerService, ticket_key
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
    DirectoryLookup,
    changes_of,
    states_of,
)
from crocusspindle.settings_schema import Principal, TimingSettings

ISOLATED_MESSAGE: Final = "this node may be cut off; ask another one"
RETRY_MS: Final = 1_000.0
MAX_HEARTBEATS_WAITED: Final = 6
SUBMISSION_TIMEOUT_MS: Final = 8_000.0
"""Timeout of a submission: six platform calls of a second each and a margin."""


class BackendService(Service):
    """Serve operator calls from this node's state and the platform."""

    name = "backend"
    needs = ("control", "peers", "rates", "home", "ledger", "follower")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        rates: RatesService,
        coordinator: CoordinatorService,
        ledger: LedgerService,
        follower: FollowerService,
        platform: Platform,
        timings: TimingSettings,
    ) -> None:
        self._control = control
        self._peers = peers
        self._rates = rates
        self._coordinator = coordinator
        self._ledger = ledger
        self._follower = follower
        self._platform = platform
        self._timings = timings
        self._audit = AuditTrail(platform, timings.platform_timeout_ms)

    async def validate(self, document: bytes) -> TicketSummary:
        """Check a ticket against the state before it; return what it would change."""
        ticket = parse_ticket(document, "ticket")
        await self._follower.catch_up()
        self._check_state(ticket)
        return TicketSummary(ticket.number, content_hash(ticket).hex(), touches(ticket))

    async def submit(self, document: bytes, principal: Principal) -> SubmitResult:
        """Record a ticket; submitting the same content again succeeds."""
        ticket = replace(parse_ticket(document, "ticket"), author=principal.name)
        await self._follower.catch_up()
        repeated = self._control.log.applied >= ticket.number
        if not repeated:
            self._check_state(ticket)
        before = states_of(ticket, self._control.directory)
        await self._wait_for_majority()
        submission = Submission(ticket, now_ms() + SUBMISSION_TIMEOUT_MS)
        while submission.step is not SubmissionStep.DONE:
            await self._run_step(submission)
        self._raise_unless_accepted(submission)
        self._control.apply_tickets([ticket])
        if not repeated:
            await self._audit.write(ticket, principal, before, unix_ms())
        return SubmitResult(ticket.number, content_hash(ticket).hex(), repeated)

    async def ticket(self, number: TicketNumber) -> TicketRecord | None:
        """Return one ticket, or None if its number is unused."""
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
        """Return this node's knowledge of the fleet, ready for JSON."""
        control, now = self._control, now_ms()
        view = control.view
        return {
            "node": control.own_member.member,
            "domain": control.own_member.domain,
            "fit": control.is_eligible(),
            "reason": control.node_eligibility.reason(now).value,
            "stamp_age_ms": control.node_eligibility.timestamp_age_ms(now),
            "draining": control.draining,
            "applied_ticket": control.log.applied,
            "head_seen": control.log.head_seen,
            "in_force": self._in_force(control.log.head_seen),
            "view": 0 if view is None else view.number,
            "members": self._members(view),
            "groups": self._coordinator.status(),
            "shares": asdict(self._rates.status()),
            "operations_whole": self._ledger.covers_window_for_all_keys(),
            "counts": control.directory.counts(),
        }

    def _deadline_ms(self) -> float:
        return now_ms() + self._timings.platform_timeout_ms

    def _check_state(self, ticket: Ticket) -> None:
        """Check a ticket against the state before it; raise ``TicketError``."""
        if not self._control.is_eligible():
            raise NodeIneligibleError(ISOLATED_MESSAGE, RETRY_MS)
        expected = self._control.log.applied + 1
        if ticket.number < expected:
            return
        if ticket.number > expected:
            message = f"the next number is {expected}"
            raise TicketError([Finding("ticket", "number", message)])
        directory = self._control.directory
        findings = [
            *check_references(ticket, DirectoryLookup(directory)),
            *directory.check(changes_of(ticket)),
        ]
        if findings:
            raise TicketError(findings)

    async def _wait_for_majority(self) -> None:
        """Wait until a majority is known to have the current view.

        This takes about two heartbeats after each change of view. Waiting spares the
        operator a retry.
        """
        wait_until_ms = now_ms() + self._timings.heartbeat_ms * MAX_HEARTBEATS_WAITED
        while now_ms() >= self._control.node_eligibility.changes_until_ms(now_ms()):
            if now_ms() >= wait_until_ms:
                raise NodeIneligibleError(ISOLATED_MESSAGE, RETRY_MS)
            await asyncio.sleep(self._timings.heartbeat_ms / 4e3)

    async def _run_step(self, submission: Submission) -> None:
        number = submission.ticket.number
        key = ticket_key(number)
        try:
            if submission.step is SubmissionStep.READ_PREDECESSOR:
                predecessor_key = ticket_key(TicketNumber(number - 1))
                predecessor = await self._platform.get(
                    TICKETS, predecessor_key, self._deadline_ms()
                )
                submission.predecessor_read(predecessor is not None)
            elif submission.step is SubmissionStep.PUT:
                content = encode_ticket(submission.ticket)
                result = await self._platform.put(
                    TICKETS, key, content, ABSENT, self._deadline_ms()
                )
                if result.applied:
                    submission.put_applied()
                else:
                    self._apply_row(submission, result.current)
            else:
                row = await self._platform.get(TICKETS, key, self._deadline_ms())
                self._apply_row(submission, row)
        except PlatformUnavailableError:
            submission.call_unavailable(now_ms())
        except PlatformUnknownError:
            submission.call_unknown(now_ms())

    def _apply_row(self, submission: Submission, row: Row | None) -> None:
        if row is None:
            submission.row_absent()
        else:
            submission.row_found(content_hash(decode_ticket(row.value)))

    def _raise_unless_accepted(self, submission: Submission) -> None:
        number, outcome = submission.ticket.number, submission.outcome
        if outcome is SubmissionOutcome.ACCEPTED:
            return
        if outcome is SubmissionOutcome.CONFLICT:
            raise TicketConflictError(f"ticket {number} already holds other content")
        if outcome is SubmissionOutcome.GAP:
            message = f"ticket {number - 1} does not exist yet"
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
        applied_by = {self._control.own_member.member: self._control.log.applied}
        for member in self._peers.members():
            standing = self._peers.standing(member.member)
            if standing is not None:
                applied_by[member.member] = TicketNumber(standing.applied_ticket)
        return applied_by

    def _ineligible_members(self) -> set[MemberId]:
        """Return members that a ticket need not wait for to be in force.

        A member without an echo for longer than a timestamp stays fresh refuses new
        work by now, unless it has read the ticket log since.
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
        return in_force(number, self._confirmations(), view, self._ineligible_members())

    def _waiting_for(self, number: TicketNumber) -> tuple[str, ...]:
        confirmed, ineligible = self._confirmations(), self._ineligible_members()
        view = self._control.view
        members = () if view is None else view.members
        return tuple(
            member.member
            for member in members
            if confirmed.get(member.member, 0) < number
            and member.member not in ineligible
        )

    def _members(self, view: MemberView | None) -> list[dict[str, Any]]:
        members = []
        for member in () if view is None else view.members:
            standing = self._peers.standing(member.member)
            is_own = member.member == self._control.own_member.member
            members.append(
                {
                    "member": member.member,
                    "domain": member.domain,
                    "caller_address": member.caller_address,
                    "silent": not is_own and not self._peers.connected(member.member),
                    "fit": self._control.is_eligible()
                    if is_own
                    else standing is not None and standing.fit,
                    "draining": standing is not None and standing.draining,
                    "applied_ticket": self._control.log.applied
                    if is_own
                    else 0
                    if standing is None
                    else standing.applied_ticket,
                    "unfit_reason": "" if standing is None else standing.unfit_reason,
                }
            )
        return members


def touches(ticket: Ticket) -> tuple[Touch, ...]:
    """Return what a ticket changes, with the path of each change in the document."""
    changes = [
        Touch(
            TouchKind.APPROVAL_GIVEN,
            f"approvals.{approval.service}.{approval.customer}",
            approval.service,
            approved_by=approval.approved_by,
        )
        for approval in ticket.set.approvals
    ]
    changes += [
        Touch(
            TouchKind.APPROVAL_WITHDRAWN,
            f"approvals.{approval.service}.{approval.customer}",
            approval.service,
        )
        for approval in ticket.remove.approvals
    ]
    content = json.loads(encode_ticket(ticket))
    changes += [
        Touch(TouchKind.OTHER, f"{kind}.{name}")
        for kind in ("customers", "keys", "services", "routes")
        for name in content[kind]
    ]
    return tuple(changes)
