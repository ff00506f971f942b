"""Open ports that are taken for a time."""

import errno

import pytest

from crocusspindle.gateway import open_ports
from crocusspindle.gateway.open_ports import open_when_free

ADDRESS = "127.0.0.1:1"


class Port:
    """Fail to open with errors, then open."""

    def __init__(self, *errors: OSError) -> None:
        self.errors = list(errors)

    async def open(self) -> str:
        """Return a text once the errors are used up."""
        if self.errors:
            raise self.errors.pop(0)
        return "open"


@pytest.fixture(autouse=True)
def _without_waits(monkeypatch):
    monkeypatch.setattr(open_ports, "RETRY_S", 0.0)


def datagram_error() -> OSError:
    """Return the error that uvloop raises for datagrams: its cause has the number."""
    error = OSError("could not bind")
    error.__cause__ = OSError(errno.EADDRINUSE, "in use")
    return error


async def test_a_port_opens_once_it_is_free():
    errors = [OSError(errno.EADDRINUSE, "in use"), datagram_error()]
    port = Port(*errors, OSError(errno.EADDRNOTAVAIL, "no such address"))
    assert await open_when_free(port.open, ADDRESS) == "open"


async def test_a_port_that_stays_taken_is_an_error_at_the_deadline():
    """Guards against a node that waits for ever and never serves."""
    port = Port(*(OSError(errno.EADDRINUSE, "in use") for _ in range(9)))
    with pytest.raises(OSError, match="in use"):
        await open_when_free(port.open, ADDRESS, wait_ms=0.0)
    assert len(port.errors) == 8


async def test_other_errors_are_raised_at_once():
    port = Port(PermissionError(errno.EACCES, "not allowed"))
    with pytest.raises(PermissionError):
        await open_when_free(port.open, ADDRESS)
    assert not port.errors
