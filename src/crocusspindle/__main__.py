"""Start the command line of crocusspindle."""

import os
import sys

# uvloop opens an io_uring descriptor when it is imported without this.
os.environ["UV_USE_IO_URING"] = "0"


def main() -> None:
    """Run the command given on the command line."""
    if sys.argv[1:2] == ["serve"]:
        import crocusspindle.gateway.start  # noqa: F401, PLC0415 - ignores SIGHUP
    from crocusspindle import cli  # noqa: PLC0415 - after the variable is set

    sys.exit(cli.run())


if __name__ == "__main__":
    main()
