"""Open sessions for callers that know of each of their own sendings."""

from typing import Any

import aiohttp


def calling_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    The library sends a GET again by itself when a kept connection breaks, as it does
    when a node is killed. The judge then takes a refusal of the second sending, "not
    run", for a word on the first, which ran; or a refused connection of the second for
    proof that the first was never seen.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
