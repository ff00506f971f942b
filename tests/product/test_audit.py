import json

from crocusspindle.core.ticket_schema import encode_ticket, parse_ticket
from crocusspindle.errors import PlatformUnknownError
from crocusspindle.platform.adapter import Row
from crocusspindle.services.audit import AuditTrail
from crocusspindle.settings_schema import Principal

OPS = Principal(name="ops", role="operator", key_sha256="0" * 64)


class FakePlatform:
    def __init__(self):
        self.tables = {"tickets": [], "audit": []}
        self.loses_responses = False

    async def put(self, table, key, value, expected_version, deadline_ms):
        if self.loses_responses:
            raise PlatformUnknownError("lost")
        self.tables[table].append(Row(key, 1, value))

    async def read_range(self, table, after_key, limit, deadline_ms):
        return [row for row in self.tables[table] if row.key > after_key][:limit]


def make_ticket(number):
    entry = {"rate_per_s": float(number), "burst": 1}
    fields = {"number": number, "author": "ops", "reason": "r"}
    return parse_ticket({**fields, "customers": {"c1": entry}}, "test")


async def test_audit_trail_includes_tickets_without_an_audit_entry():
    """A node records a ticket and is lost before it writes the audit entry.

    The change is in force nevertheless, and operators must find it in the trail.
    """
    platform = FakePlatform()
    trail = AuditTrail(platform, 1_000)
    for number in (1, 2, 3):
        ticket = make_ticket(number)
        row = Row(f"{number:012d}", 1, encode_ticket(ticket))
        platform.tables["tickets"].append(row)
        platform.loses_responses = number == 2
        await trail.write(ticket, OPS, {"customers": {"c1": None}}, 5.0)

    entries = await trail.read(0, 10, lambda number: number < 3)
    assert [entry.number for entry in entries] == [1, 2, 3]
    assert [entry.when_unix_ms for entry in entries] == [5.0, None, 5.0]
    assert [entry.in_force for entry in entries] == [True, True, False]
    assert {entry.who for entry in entries} == {"ops"}
    assert entries[1].after["customers"]["c1"]["rate_per_s"] == 2.0
    assert entries[1].touched == ("customers.c1",)
    assert len(await trail.read(1, 1, lambda number: True)) == 1
    assert json.loads(platform.tables["audit"][0].value)["before"]
