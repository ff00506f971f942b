"""Identify requests with the same content."""

import hashlib
from typing import Final

from crocusspindle.ids import ContentDigest, CustomerId

DIGEST_BYTES: Final = 8
DIGEST_PREFIX: Final = "c"
"""Prevents a digest that consists of digits from being parsed as a number."""


def content_digest(
    method: str,
    host: str,
    path: str,
    customer: CustomerId | None,
    body: bytes,
    body_length: int,
) -> ContentDigest:
    """Return the digest of a request's content, the same for a caller's retries.

    Parameters
    ----------
    path
        Includes the query.
    body
        The whole body, or a prefix of fixed length of a streamed one.
    body_length
        Length of the whole body, 0 if it is streamed in chunks.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, host, path, customer or "", str(body_length)):
        digest.update(field.encode(errors="surrogateescape") + b"\n")
    digest.update(body)
    return ContentDigest(DIGEST_PREFIX + digest.hexdigest())
