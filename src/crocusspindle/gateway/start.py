"""Ignore SIGHUP, then start a node; run as a file.

By default SIGHUP ends a process. Where the interpreter's own start program could not be
built, this first statement is what ignores it; before that, only built-in modules are
imported, in a third of the time of ``python -m``.
"""

import _signal  # Built in, while `signal` imports `enum`.

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

if __name__ == "__main__":
    from crocusspindle.gateway.__main__ import run

    run()
