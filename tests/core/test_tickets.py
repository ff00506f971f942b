import json
from collections.abc import Collection
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from crocusspindle.core.members import MemberView, ViewMember
from crocusspindle.core.model import Customer
from crocusspindle.core.ticket_schema import (
    States,
    Ticket,
    content_hash,
    decode_ticket,
    encode_ticket,
    parse_ticket,
)
from crocusspindle.core.tickets import (
    MAX_PENDING,
    Submission,
    SubmissionOutcome,
    SubmissionStep,
    TicketLog,
    check_references,
    in_force,
)
from crocusspindle.errors import TicketConflictError, TicketError
from crocusspindle.ids import (
    CustomerId,
    DomainId,
    KeyDigest,
    MemberId,
    ServiceId,
    TicketNumber,
    ViewNumber,
)

DIGEST = "ab" * 32
DOCUMENT = f"""\
number: 17
author: ops@bengkel
reason: show day
customers:
  club-a: {{rate_per_s: 5, burst: 10}}
  club-b: null
keys:
  {DIGEST}: {{customer: club-a, state: active}}
services:
  katalog: {{floor_fraction: 0.5, timeout_ms: 2000, hedge: true}}
routes:
  /katalog/: {{service: katalog, idempotent_methods: [GET, HEAD]}}
approvals:
  katalog: {{club-a: {{approved_by: owner@katalog}}, club-b: null}}
"""


def ticket(number: int, rate_per_s: float = 1.0) -> Ticket:
    state = Customer(CustomerId("club-a"), rate_per_s, 2)
    return Ticket(TicketNumber(number), "ops", "test", States(customers=(state,)))


class DirectoryStub:
    def __init__(self, customers: Collection[str] = (), services: Collection[str] = ()):
        self.customers, self.services = set(customers), set(services)
        self.keys: dict[KeyDigest, CustomerId] = {}
        self.routes: dict[str, list[str]] = {}

    def has_customer(self, customer: CustomerId) -> bool:
        return customer in self.customers

    def has_service(self, service: ServiceId) -> bool:
        return service in self.services

    def key_customer(self, digest: KeyDigest) -> CustomerId | None:
        return self.keys.get(digest)

    def route_prefixes(self, service: ServiceId) -> Collection[str]:
        return self.routes.get(service, [])


def test_states_and_removals_are_parsed_and_survive_encoding() -> None:
    parsed = parse_ticket(DOCUMENT, "17.yaml")
    assert parsed.set.customers == (Customer(CustomerId("club-a"), 5.0, 10, 1.0),)
    assert parsed.remove.customers == ("club-b",)
    assert parsed.set.keys[0].digest == bytes.fromhex(DIGEST)
    assert [(a.service, a.customer) for a in parsed.remove.approvals] == [
        ("katalog", "club-b")
    ]
    assert decode_ticket(encode_ticket(parsed)) == parsed
    as_json = json.dumps(json.loads(encode_ticket(parsed)), indent=2)
    assert content_hash(parse_ticket(as_json, "17.json")) == content_hash(parsed)


@pytest.mark.parametrize(
    ("old", "new", "path", "line"),
    [
        ("rate_per_s: 5", "rate_per_s: 0", "customers.club-a.rate_per_s", 5),
        ("rate_per_s: 5", "rate_per_s: .nan", "customers.club-a.rate_per_s", 5),
        ("rate_per_s: 5", "rate_per_s: '5'", "customers.club-a.rate_per_s", 5),
        ("burst: 10", "burst: 2.5", "customers.club-a.burst", 5),
        ("burst: 10", "burst: true", "customers.club-a.burst", 5),
        ("burst: 10", "bust: 10", "customers.club-a.bust", 5),
        (DIGEST, "secret-key", "keys.secret-key", 8),
        ("state: active", "state: on", "keys." + DIGEST + ".state", 8),
        ("0.5", "1.5", "services.katalog.floor_fraction", 10),
        ("[GET, HEAD]", "[GET, 1]", "routes./katalog/.idempotent_methods.1", 12),
        ("number: 17", "number: 0", "number", 1),
        ("author: ops@bengkel", "author: ''", "author", 2),
        ("reason:", "raison:", "raison", 3),
    ],
)
def test_each_error_is_reported_with_its_line(
    old: str, new: str, path: str, line: int
) -> None:
    with pytest.raises(TicketError) as caught:
        parse_ticket(DOCUMENT.replace(old, new), "17.yaml")
    assert (path, line) in [(f.path, f.line) for f in caught.value.findings]


def test_all_findings_are_reported_together() -> None:
    broken = DOCUMENT.replace("burst: 10", "burst: 0").replace("0.5", "-1")
    with pytest.raises(TicketError) as caught:
        parse_ticket(broken, "17.yaml")
    assert [f.line for f in caught.value.findings] == [5, 10]


@pytest.mark.parametrize(
    "document",
    [
        DOCUMENT.replace("club-b: null", "club-a: null", 1),
        "[" * 5000,
        "a: &x [1]\nb: *x",
        "a: b: c",
        b"\xff\xfe\x00",
        "",
        "number: 1\nauthor: a\nreason: r\n",
        "? [a]\n: 1\n",
        f"number: 1\nauthor: a\nreason: r\nkeys:\n  {DIGEST}: null\n"
        f"  {DIGEST.upper()}: null\n",
    ],
)
def test_ambiguous_documents_are_refused(document: str | bytes) -> None:
    """A duplicate key, an alias or a digest in upper and lower case would let the
    loader silently pick one of two states, while the operator expects the other."""
    with pytest.raises(TicketError):
        parse_ticket(document, "ticket")


@pytest.mark.parametrize("content", [b"", b"[]", b"number: 1", b"\xff", b"{}"])
def test_invalid_rows_are_refused(content: bytes) -> None:
    with pytest.raises(TicketError):
        decode_ticket(content)


def test_references_to_unconfigured_items_are_reported() -> None:
    parsed = parse_ticket(DOCUMENT, "17.yaml")
    assert not check_references(parsed, DirectoryStub(customers=["club-b"]))
    incomplete = replace(parsed, set=replace(parsed.set, customers=(), services=()))
    paths = {finding.path for finding in check_references(incomplete, DirectoryStub())}
    assert paths == {
        f"keys.{DIGEST}",
        "routes./katalog/",
        "approvals.katalog.club-a",
        "customers.club-b",
    }


def test_a_key_is_never_rebound_and_a_routed_service_stays() -> None:
    directory = DirectoryStub(["club-a", "club-b"], ["katalog"])
    directory.keys[KeyDigest(bytes.fromhex(DIGEST))] = CustomerId("club-b")
    directory.routes["katalog"] = ["/k/"]
    parsed = parse_ticket(
        f"number: 1\nauthor: a\nreason: r\nservices: {{katalog: null}}\n"
        f"keys: {{{DIGEST}: {{customer: club-a, state: active}}}}\n",
        "1.yaml",
    )
    found = [finding.path for finding in check_references(parsed, directory)]
    assert found == [f"keys.{DIGEST}", "services.katalog"]


class LastWriterState:
    """Baseline: apply every ticket as it arrives."""

    def __init__(self) -> None:
        self.state = 0

    def offer(self, number: int) -> None:
        self.state = number


def reverts(orders: list[int]) -> bool:
    baseline, before = LastWriterState(), 0
    for number in orders:
        baseline.offer(number)
        if baseline.state < before:
            return True
        before = baseline.state
    return False


@settings(max_examples=300, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["offer", "install", "head"]), st.integers(1, 12)),
        max_size=60,
    )
)
@example([("offer", 2), ("offer", 1), ("offer", 1), ("install", 1), ("offer", 3)])
@example([("offer", 3), ("install", 5), ("offer", 4), ("install", 2), ("offer", 6)])
def test_tickets_are_never_skipped_reordered_or_reverted(
    events: list[tuple[str, int]],
) -> None:
    """Gossip is delayed, a snapshot is older than the node's state, or a table read is
    repeated. A node that applied whatever arrives last would reactivate a withdrawn
    key."""
    log, state = TicketLog(), 0
    for kind, number in events:
        before = log.applied
        if kind == "offer":
            ready = log.offer(ticket(number))
        elif kind == "install":
            installed = log.install(TicketNumber(number))
            assert (installed is None) == (number <= before)
            state = state if installed is None else number
            ready = installed or []
        else:
            log.record_head(TicketNumber(number))
            ready = []
        for applied in ready:
            assert applied.number == state + 1
            state = applied.number
        assert log.applied == state >= before
        assert not set(log.missing()) & set(range(1, state + 1))
    for number in log.missing():
        log.offer(ticket(number))
    assert log.applied == log.head_seen


def test_the_last_writer_baseline_reverts() -> None:
    assert reverts([1, 2, 1])


def test_other_content_under_a_known_number_is_a_conflict() -> None:
    """A peer relays a ticket that was never stored, because its writer lost the race
    for the number. Nodes that applied it would permanently serve a different state."""
    log = TicketLog()
    log.offer(ticket(1))
    with pytest.raises(TicketConflictError):
        log.offer(ticket(1, rate_per_s=9))
    log.offer(ticket(3))
    with pytest.raises(TicketConflictError):
        log.offer(ticket(3, rate_per_s=9))
    assert log.missing() == [2, 3]


def test_a_long_gap_is_held_in_bounded_memory() -> None:
    log = TicketLog()
    for number in range(2, MAX_PENDING + 50):
        log.offer(ticket(number))
    assert len(log.offer(ticket(1))) == MAX_PENDING + 1
    assert log.missing()[0] == MAX_PENDING + 2


class Table:
    """Hold one row; a write may take effect after its response was lost."""

    def __init__(self) -> None:
        self.row: bytes | None = None
        self.delayed_puts: list[bytes] = []

    def put(self, content: bytes) -> bool:
        if self.row is None:
            self.row = content
            return True
        return False

    def deliver_delayed_puts(self) -> None:
        for content in self.delayed_puts:
            self.put(content)
        self.delayed_puts.clear()


def drive(submission: Submission, table: Table, faults: list[str]) -> None:
    content = content_hash(submission.ticket)
    for fault in [*faults, *[""] * 20]:
        if submission.step is SubmissionStep.DONE:
            return
        if fault == "land":
            table.deliver_delayed_puts()
        elif fault == "unavailable":
            submission.call_unavailable(0.0)
        elif submission.step is SubmissionStep.READ_BACK:
            read_back(submission, table, fault)
        elif fault == "lost after":
            table.put(content)
            submission.call_unknown(0.0)
        elif fault == "lost before":
            table.delayed_puts.append(content)
            submission.call_unknown(0.0)
        elif table.put(content):
            submission.put_applied()
        else:
            assert table.row is not None
            submission.row_found(table.row)


def read_back(submission: Submission, table: Table, fault: str) -> None:
    if fault:
        submission.call_unavailable(0.0)
    elif table.row is None:
        submission.row_absent()
    else:
        submission.row_found(table.row)


FAULTS = st.sampled_from(["", "lost after", "lost before", "unavailable", "land"])


@settings(max_examples=400, derandomize=True)
@given(st.lists(FAULTS, max_size=10), st.lists(FAULTS, max_size=10), st.booleans())
@example(["lost before", "", "unavailable"] + ["unavailable"] * 4, ["land"], False)
def test_racing_operators_get_the_outcome_the_table_holds(
    first: list[str], second: list[str], same: bool
) -> None:
    """Two operators submit the same number, and responses are lost before or after the
    write. After a false conflict or a false success, an operator continues from a state
    that the fleet does not have."""
    table = Table()
    submissions = [
        Submission(ticket(1), 1e9),
        Submission(ticket(1, 1.0 if same else 2.0), 1e9),
    ]
    for submission, faults in zip(submissions, [first, second], strict=True):
        drive(submission, table, faults)
    table.deliver_delayed_puts()
    for submission in submissions:
        content = content_hash(submission.ticket)
        if submission.outcome is SubmissionOutcome.ACCEPTED:
            assert table.row == content
        elif submission.outcome is SubmissionOutcome.CONFLICT:
            assert table.row not in (None, content)
        elif submission.outcome is SubmissionOutcome.NOT_WRITTEN:
            assert table.row != content or same
        resubmission = Submission(submission.ticket, 1e9)
        drive(resubmission, table, [])
        if submission.outcome is SubmissionOutcome.ACCEPTED:
            assert resubmission.outcome is SubmissionOutcome.ACCEPTED


def test_a_gap_is_refused_and_the_deadline_ends_retries() -> None:
    submission = Submission(ticket(5), 100.0)
    assert submission.step is SubmissionStep.READ_PREDECESSOR
    submission.predecessor_read(False)
    assert submission.outcome is SubmissionOutcome.GAP
    expired = Submission(ticket(1), 100.0)
    expired.call_unavailable(150.0)
    assert expired.outcome is SubmissionOutcome.NOT_WRITTEN


def test_in_force_waits_for_every_member_that_may_serve() -> None:
    members = tuple(
        ViewMember(MemberId(name), DomainId("d"), "r", "", "", 0) for name in "abc"
    )
    view = MemberView(ViewNumber(1), members)
    confirmations = {MemberId("a"): TicketNumber(4), MemberId("b"): TicketNumber(3)}
    assert not in_force(TicketNumber(3), confirmations, view, [])
    assert in_force(TicketNumber(3), confirmations, view, [MemberId("c")])
    assert not in_force(TicketNumber(4), confirmations, view, [MemberId("c")])
