"""Encode changes of a document as deltas to the version that a peer holds."""

from collections.abc import Sequence
from typing import Any, Final

import zstandard

from crocusspindle.errors import MalformedError
from crocusspindle.typed_values import as_sequence

ENCODINGS_KEPT: Final = 8
"""Encodings kept as delta bases. Peers ping twice a second and lists change a few times
a second at most, so a peer holds one of the last few; others get the full document."""

NO_BASE: Final = -1
"""Base key of a delta that holds the full document."""

Delta = Sequence[Any]
"""Key of the base encoding that the peer must hold, and the compressed bytes."""


class DocumentEncodings:
    """Keep the latest encodings of one document, each under its key.

    Each change touches a small part of a document. Sent in full to each node at each
    change, documents make up three quarters of all bytes between failure domains while
    all nodes are restarted. The older encoding is the dictionary that compresses the
    newer one, so the size of a delta depends on the change alone.
    """

    def __init__(self) -> None:
        self._encodings: dict[int, bytes] = {}
        self._deltas: dict[int, Delta] = {}
        self.newest = b""

    def update(self, key: int, encoding: bytes) -> None:
        """Record the encoding that is in force."""
        self._encodings.pop(key, None)
        self._encodings[key] = encoding
        self.newest = encoding
        self._deltas.clear()
        while len(self._encodings) > ENCODINGS_KEPT:
            del self._encodings[next(iter(self._encodings))]

    def delta_for(self, key: int) -> Delta:
        """Return the delta for a peer that holds the encoding of a key."""
        base = key if key in self._encodings else NO_BASE
        delta = self._deltas.get(base)
        if delta is None:
            delta = (base, _compressed(self.newest, self._encodings.get(base, b"")))
            self._deltas[base] = delta
        return delta

    def apply_delta(self, delta: Delta) -> bytes | None:
        """Return the newer encoding; None if the base is missing or differs here.

        Raise ``MalformedError`` if it is no delta.
        """
        base, data = as_sequence(delta, 2)
        if not (isinstance(base, int) and isinstance(data, bytes)):
            raise MalformedError("delta without a key and bytes")
        if base != NO_BASE and base not in self._encodings:
            return None
        try:
            return _decompressed(data, self._encodings.get(base, b""))
        except zstandard.ZstdError:
            # The same key has another encoding here; the next state requested from the
            # peer holds full documents.
            return None


def _compressed(encoding: bytes, older: bytes) -> bytes:
    # The checksum shows a peer that its base differs from the one used here.
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(older), write_checksum=True
    )
    return compressor.compress(encoding)


def _decompressed(data: bytes, older: bytes) -> bytes:
    return zstandard.ZstdDecompressor(dict_data=_dictionary(older)).decompress(data)


def _dictionary(older: bytes) -> zstandard.ZstdCompressionDict | None:
    if not older:
        return None
    return zstandard.ZstdCompressionDict(
        older, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
