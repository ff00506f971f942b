"""Open sessions that make exactly one attempt for each request."""

from typing import Any

import aiohttp


def single_attempt_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    The library silently retries a GET when a kept-alive connection breaks, as it does
    when a node is killed. The checks would then apply a "not run" response of the
    second attempt to the first, which ran, or take a refused connection of the second
    attempt as evidence that no node received the first.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
