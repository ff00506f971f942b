"""Make a process independent of what reads its output, if anything does."""

import os
import sys
from typing import Final

STANDARD_INPUT: Final = 0
STANDARD_ERROR: Final = 2


def prepare_standard_streams() -> None:
    """Open the standard descriptors that are closed, and never block on errors.

    Otherwise the next socket would get the number of a closed one, and output would be
    written to it. Call this before anything else opens a descriptor.
    """
    for descriptor in range(STANDARD_INPUT, STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is used, which is this one.
            os.open(os.devnull, os.O_RDWR)
    os.set_blocking(STANDARD_ERROR, False)
    if sys.stdout is None:
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 - for good
    if sys.stderr is None:
        sys.stderr = open(os.devnull, "w")  # noqa: SIM115 - for good


def report_error(message: str) -> None:
    """Write a line to standard error unless nothing reads it."""
    try:
        print(message, file=sys.stderr, flush=True)
    except OSError:
        return
