"""Test that a caller's retries have the same digest, and other requests do not."""

import pytest

from crocusspindle.core.request_content import content_digest
from crocusspindle.ids import CustomerId

REQUEST = {
    "method": "POST",
    "host": "hall.example",
    "path": "/pages/oak?size=2",
    "customer": CustomerId("club"),
    "body": b"spindle",
    "body_length": 7,
}


def test_a_retry_has_the_same_digest():
    assert content_digest(**REQUEST) == content_digest(**REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"host": "shop.example"},
        {"path": "/pages/oak?size=3"},
        {"customer": CustomerId("guild")},
        {"customer": None},
        {"body": b"bowl..."},
        {"body_length": 8},
    ],
)
def test_a_request_that_differs_in_one_field_has_another_digest(change):
    assert content_digest(**REQUEST) != content_digest(**{**REQUEST, **change})
