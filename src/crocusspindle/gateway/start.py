"""Handle signals, then start a node; run as a file.

By default SIGHUP ends a process, and SIGTERM ends it with a failure. Where the
interpreter's own start program could not be built, these first statements are what
handles them; before them, only built-in modules are imported, in a third of the time of
``python -m``.
"""

import _signal  # Built in, while `signal` imports `enum`.
import posix

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
if _signal.getsignal(_signal.SIGTERM) == _signal.SIG_DFL:
    # A process that has not started holds no request.
    _signal.signal(_signal.SIGTERM, lambda number, frame: posix._exit(0))

if __name__ == "__main__":
    from crocusspindle.gateway.__main__ import run

    run()
