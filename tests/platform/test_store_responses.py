"""Tests of responses of the store that can't be read, whole or in part."""

import json

import pytest

from crocusspindle.errors import MalformedError
from crocusspindle.platform.table_store import StoreResponse

SOUND = {"key": "i-1", "schema_version": 5, "value": "eA=="}


@pytest.mark.parametrize(
    "foreign",
    [
        None,
        [],
        {},
        {"key": 7, "schema_version": 5},
        {"key": "a \ud83d", "schema_version": 5},
        {"key": "i-2", "schema_version": "five"},
        {"key": "i-2", "schema_version": 10**20},
    ],
)
def test_a_row_without_a_key_or_version_costs_no_other_row(foreign):
    """Guards against one row that keeps a node from reading a table."""
    document = {"schema_version": 9, "rows": [SOUND, foreign, SOUND]}
    response = StoreResponse.from_bytes(200, 0, json.dumps(document).encode())
    assert [row.key for row in response.rows] == ["i-1", "i-1"]


@pytest.mark.parametrize(
    "content",
    [b"", b"[]", b"{}", b"[" * 2_000, b'{"schema_version": 1e9}', b'{"rows": 5}'],
)
def test_a_response_that_is_none_of_the_stores_is_reported_as_such(content):
    """Guards against a response that ends the process that reads it."""
    with pytest.raises(MalformedError):
        StoreResponse.from_bytes(200, 0, content)
