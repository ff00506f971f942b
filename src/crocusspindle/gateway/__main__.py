"""Start a node that serves on the platform, with few imports.

A host serves no callers while its process restarts. The command-line libraries and the
TLS certificate authorities, neither of which this node uses, take half of the 0.7 s of
processor time of a start on a small host.
"""

import os
import sys
from typing import Final

import crocusspindle.gateway.start  # noqa: F401 - first, to ignore SIGHUP

STDERR: Final = 2


def main(arguments: list[str]) -> int:
    """Serve with the settings that the first argument or the environment names.

    End the process after a planned stop; otherwise return its exit status.
    """
    _open_missing_streams()
    # Without the first, uvloop opens an io_uring descriptor at import. Without the
    # others, the HTTP library loads all TLS authorities twice at import.
    os.environ.update(
        UV_USE_IO_URING="0", SSL_CERT_FILE=os.devnull, SSL_CERT_DIR=os.devnull
    )
    from crocusspindle.clock import (  # noqa: PLC0415 - after the variables are set
        now_ms,
    )

    began_ms = now_ms()
    from crocusspindle.errors import (  # noqa: PLC0415 - as above
        CrocusspindleError,
    )
    from crocusspindle.gateway.serve import (  # noqa: PLC0415 - as above
        serve,
    )

    try:
        serve(arguments[0] if arguments else None, began_ms, _exit_at_once)
    except (CrocusspindleError, OSError) as error:
        print(f"crocusspindle: {error}", file=sys.stderr)
        return 1
    return 0


def _open_missing_streams() -> None:
    # A socket would get the number of a missing stream, and log lines with it.
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= STDERR:
        pass
    os.close(descriptor)
    if sys.stderr is None:
        # The library of the entry point asks it whether it is a terminal.
        sys.stderr = os.fdopen(STDERR, "w", closefd=False)


def _exit_at_once(status: int = 0) -> None:
    # All connections are closed. The teardown of the event loop, which starts threads,
    # and of the interpreter would only delay the next start of the host's process.
    sys.stderr.flush()
    os._exit(status)


def run() -> None:
    """Serve, and end the process."""
    _exit_at_once(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
