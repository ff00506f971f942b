"""Define the exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of commands, for scripts; documented for operators."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    NOT_ALLOWED = 4
    CONFLICT = 5
    NOT_FOUND = 6
    RETRY_LATER = 7
    UNKNOWN = 8
    NOT_IN_FORCE = 9


MEANINGS = {
    ExitCode.DONE: "The command succeeded.",
    ExitCode.FAILED: "The command failed for a reason without a code of its own.",
    ExitCode.USAGE: "The command line is wrong; nothing was done.",
    ExitCode.FINDINGS: "Settings, ticket or log files are invalid; nothing was done.",
    ExitCode.NOT_ALLOWED: "The key is unknown or lacks permission; nothing was done.",
    ExitCode.CONFLICT: "The ticket number has other content; nothing was done.",
    ExitCode.NOT_FOUND: "There is no such ticket.",
    ExitCode.RETRY_LATER: "The node is unreachable or ineligible; nothing was done.",
    ExitCode.UNKNOWN: "The response was lost; submit the same ticket again.",
    ExitCode.NOT_IN_FORCE: "The ticket is recorded, but was not in force in time.",
}
