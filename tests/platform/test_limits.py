"""Read the limit that a target names in an answer."""

import pytest

from crocusspindle.errors import InvalidInputError
from crocusspindle.platform.dialect import dialect


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [({}, None), ({"Server-Limit": "1.5"}, 1.5), ({"Server-Limit": " 20 "}, 20.0)],
)
def test_a_limit_is_a_rate(headers, limit_per_s):
    assert dialect().target_limit_per_s(headers) == limit_per_s


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "some", "1,5", "1/s"])
def test_what_is_no_rate_is_named_and_holds_nothing(text):
    """Guards against a target that is left without work by a value nobody meant."""
    with pytest.raises(InvalidInputError, match="Server-Limit"):
        dialect().target_limit_per_s({"Server-Limit": text})
