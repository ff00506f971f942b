"""Tests of parsing the limit that a target reports in a response."""

import pytest

from crocusspindle.errors import InvalidInputError
from crocusspindle.platform.dialect import dialect


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [({}, None), ({"Server-Limit": "1.5"}, 1.5), ({"Server-Limit": " 20 "}, 20.0)],
)
def test_valid_limit_is_parsed(headers, limit_per_s):
    assert dialect().target_limit_per_s(headers) == limit_per_s


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "some", "1,5", "1/s"])
def test_invalid_limit_is_a_finding_and_has_no_effect(text):
    """An invalid limit must not keep all requests from a target."""
    with pytest.raises(InvalidInputError, match="Server-Limit"):
        dialect().target_limit_per_s({"Server-Limit": text})
