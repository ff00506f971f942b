"""Tell whether two requests ask for the same."""

import hashlib
from typing import Final

from crocusspindle.ids import ContentDigest, CustomerId

DIGEST_BYTES: Final = 8
PREFIX: Final = "c"
"""Keeps a digest of digits alone from being read as a number."""


def content_digest(
    method: str,
    host: str,
    path: str,
    customer: CustomerId | None,
    body: bytes,
    body_length: int,
) -> ContentDigest:
    """Return the digest of a request's content; a caller's repeats have the same.

    Parameters
    ----------
    path
        With the query.
    body
        The whole body, or a first part of fixed length of one that streams.
    body_length
        Of the whole, 0 if a body streams in chunks.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, path, customer or "", str(body_length)):
        digest.update(part.encode(errors="surrogateescape") + b"\n")
    digest.update(body)
    return ContentDigest(PREFIX + digest.hexdigest())
