"""Ignore SIGHUP, end with status 0 on SIGTERM, then start a node; run as a file.

By default SIGHUP ends a process, and SIGTERM ends it as a failed one. Where the
interpreter's own start program could not be built, these first statements handle them;
before that, only built-in modules are imported, in a third of the time of
``python -m``. The kernel's handlers replace that of SIGTERM.
"""

import _signal  # Built in, while `signal` imports `enum`.
import posix

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
# A process that has not started holds no request to end.
_signal.signal(_signal.SIGTERM, lambda *_: posix._exit(0))

if __name__ == "__main__":
    from crocusspindle.gateway.__main__ import run

    run()
