"""Name the exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell a script how a command ended; documented for operators."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    NOT_ALLOWED = 4
    CONFLICT = 5
    NOT_FOUND = 6
    COME_BACK = 7
    UNKNOWN = 8
    NOT_IN_FORCE = 9


MEANINGS = {
    ExitCode.DONE: "The command did what was asked.",
    ExitCode.FAILED: "Something failed that has no code of its own.",
    ExitCode.USAGE: "The command line is wrong; nothing was done.",
    ExitCode.FINDINGS: "Settings or ticket have findings; nothing was done.",
    ExitCode.NOT_ALLOWED: "The key is unknown or may not do this; nothing was done.",
    ExitCode.CONFLICT: "The ticket number holds other content; nothing was done.",
    ExitCode.NOT_FOUND: "There is no such ticket.",
    ExitCode.COME_BACK: "The node cannot be reached or is not fit; nothing was done.",
    ExitCode.UNKNOWN: "The answer was lost; submit the same ticket again.",
    ExitCode.NOT_IN_FORCE: "The ticket is recorded, but not in force within the wait.",
}
