"""See that a caller's repeats are the same request, and other requests are not."""

import pytest

from crocusspindle.core.request_content import content_digest
from crocusspindle.ids import CustomerId

ASKED = {
    "method": "POST",
    "host": "hall.example",
    "path": "/pages/oak?size=2",
    "customer": CustomerId("club"),
    "body": b"spindle",
    "body_length": 7,
}


def test_a_repeat_has_the_same_digest():
    assert content_digest(**ASKED) == content_digest(**ASKED)


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
def test_what_differs_in_one_point_is_another_request(change):
    assert content_digest(**ASKED) != content_digest(**{**ASKED, **change})
