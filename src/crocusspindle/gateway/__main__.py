"""Start a node that serves on the platform, with as little imported as can be.

A host that lost its process serves nobody until the new one is up: the command line's
own libraries and the authorities of TLS, which this node does not speak, take half of
the 0.7 s of processor time that a start takes on a small host.
"""

import os
import sys


def main(arguments: list[str]) -> int:
    """Serve with the settings that the first argument or the environment names."""
    # uvloop opens an io_uring descriptor when it is imported without the first. The
    # HTTP library loads all authorities of TLS twice at import without the others.
    os.environ.update(
        UV_USE_IO_URING="0", SSL_CERT_FILE=os.devnull, SSL_CERT_DIR=os.devnull
    )
    from crocusspindle.clock import (  # noqa: PLC0415 - after the variables are set
        now_ms,
    )

    began_ms = now_ms()
    from crocusspindle.errors import (  # noqa: PLC0415 - the same
        CrocusspindleError,
    )
    from crocusspindle.gateway.serve import (  # noqa: PLC0415 - the same
        serve,
    )

    try:
        serve(arguments[0] if arguments else None, began_ms)
    except (CrocusspindleError, OSError) as error:
        print(f"crocusspindle: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
