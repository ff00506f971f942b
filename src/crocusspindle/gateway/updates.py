"""Say in few bytes how a document that a peer holds has changed."""

from collections.abc import Sequence
from typing import Any, Final

import zstandard

FORMS_KEPT: Final = 8
"""Peers ask twice a second, and lists change a few times a second at the most: who asks
holds one of the last few forms. Others get the whole document."""

WHOLE: Final = -1
"""Stands for the key of the older form where the whole document is sent."""

Packed = Sequence[Any]
"""The key of the form that the peer must hold, and what to decompress with it."""


class Forms:
    """Keep the latest forms of one document, each under its key.

    Lists of members and of targets, and the configuration, change in one place at a
    time. Sent whole to each node at each change they were three quarters of all bytes
    between failure domains on a day on which all nodes are restarted. The older form
    serves as the dictionary for compressing the newer one, so that only what differs
    is sent, whatever the length of the document.
    """

    def __init__(self) -> None:
        self._forms: dict[int, bytes] = {}
        self._packed: dict[int, Packed] = {}
        self.newest = b""

    def update(self, key: int, form: bytes) -> None:
        """Take the form that is in force."""
        self._forms.pop(key, None)
        self._forms[key] = form
        self.newest = form
        self._packed.clear()
        while len(self._forms) > FORMS_KEPT:
            del self._forms[next(iter(self._forms))]

    def packed_for(self, key: int) -> Packed:
        """Return what a peer needs that holds the form of a key."""
        base = key if key in self._forms else WHOLE
        packed = self._packed.get(base)
        if packed is None:
            packed = (base, _compressed(self.newest, self._forms.get(base, b"")))
            self._packed[base] = packed
        return packed

    def unpacked(self, packed: Packed) -> bytes | None:
        """Return the newer form; None if the older one is not held here."""
        base, data = packed
        if base != WHOLE and base not in self._forms:
            return None
        try:
            return _decompressed(data, self._forms.get(base, b""))
        except zstandard.ZstdError:
            # The same key stands for another form here; a whole one comes when asked.
            return None


def _compressed(form: bytes, older: bytes) -> bytes:
    # The checksum shows a peer that its older form is another one than meant here.
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(older), write_checksum=True
    )
    return compressor.compress(form)


def _decompressed(data: bytes, older: bytes) -> bytes:
    return zstandard.ZstdDecompressor(dict_data=_dictionary(older)).decompress(data)


def _dictionary(older: bytes) -> zstandard.ZstdCompressionDict | None:
    if not older:
        return None
    return zstandard.ZstdCompressionDict(
        older, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
