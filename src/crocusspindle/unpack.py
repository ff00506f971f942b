"""Start the binary: unpack its native parts to the configured folder, then run.

The binary is a zip archive that Python runs; shared libraries cannot be loaded from
it. Hosts have no disk, so they are unpacked only to an in-memory folder that the
operator configures. Unpacking and running share one process. This module uses only
the standard library, because it runs before the dependencies are unpacked.
"""

import os
import shutil
import stat
import sys
import tempfile
import zipfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

UNPACK_ENV: Final = "CROCUSSPINDLE_UNPACK"
NATIVE_LIST: Final = "NATIVE"
DIGEST_FILE: Final = "DIGEST"
PYTHON: Final = (3, 11)
SETTINGS_COMMANDS: Final = ("node", "check-settings", "check_settings")
# The values of ExitCode.USAGE and ExitCode.FINDINGS.
USAGE: Final = 2
FINDINGS: Final = 3


class UnpackError(Exception):
    """Report that the native parts cannot be unpacked."""


def start(archive: Path) -> int:
    """Run the command line from the archive and return its exit code."""
    if sys.version_info[:2] != PYTHON:
        return _fail(f"needs Python {PYTHON[0]}.{PYTHON[1]}", USAGE)
    sys.dont_write_bytecode = True
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        folder = unpack_folder(sys.argv[1:], os.environ)
        if folder is not None:
            sys.path.insert(0, str(unpack(archive, folder)))
    except UnpackError as error:
        return _fail(str(error), FINDINGS)
    from crocusspindle import cli  # noqa: PLC0415 - from the unpacked folder

    return cli.run()


def unpack_folder(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Path | None:
    """Return the unpack folder from the environment or the settings.

    None means that the variable is not set and the command takes no settings file of a
    node. Raise ``UnpackError`` if that file names no folder.
    """
    configured = environment.get(UNPACK_ENV)
    if configured:
        return Path(configured)
    file = settings_file(arguments)
    if file is None:
        return None
    configured = _unpack_path_in(file)
    if configured is None:
        raise UnpackError(
            f"{file}: unpack_path: is missing; name a folder in memory there "
            f"or in {UNPACK_ENV}"
        )
    return Path(configured)


def settings_file(arguments: Sequence[str]) -> str | None:
    """Return the settings file given to ``node`` or ``check-settings``, or None."""
    given = list(arguments)
    command = next((word for word in given if word in SETTINGS_COMMANDS), None)
    if command is None or "--help" in given:
        return None
    for index, word in enumerate(given):
        name, equals, value = word.partition("=")
        if name in ("--settings", "-s"):
            following = given[index + 1 : index + 2]
            return value if equals else next(iter(following), None)
    rest = given[given.index(command) + 1 :]
    return next((word for word in rest if not word.startswith("-")), None)


def unpack(archive: Path, folder: Path) -> Path:
    """Unpack the native parts into a folder, once for each build of the binary."""
    try:
        with zipfile.ZipFile(archive) as bundle:
            digest = bundle.read(DIGEST_FILE).decode()
            names = bundle.read(NATIVE_LIST).decode().splitlines()
            unpacked = folder / f"crocusspindle-{digest[:16]}"
            if not unpacked.exists():
                _unpack_atomically(bundle, names, unpacked)
    except (OSError, zipfile.BadZipFile) as error:
        raise UnpackError(f"cannot unpack to {folder}: {error}") from error
    _check_owner(unpacked)
    return unpacked


def _unpack_atomically(
    bundle: zipfile.ZipFile, names: list[str], unpacked: Path
) -> None:
    # Two nodes of a host may start at once, or one be killed while it unpacks. The
    # rename is atomic, so later starts never use an incomplete folder.
    unpacked.parent.mkdir(parents=True, exist_ok=True)
    partial = Path(tempfile.mkdtemp(prefix=".crocusspindle-", dir=unpacked.parent))
    try:
        bundle.extractall(partial, names)
        partial.rename(unpacked)
    except OSError:
        shutil.rmtree(partial, ignore_errors=True)
        if not unpacked.exists():
            raise


def _check_owner(unpacked: Path) -> None:
    # In a world-writable folder, another user could place libraries that this
    # process would load.
    status = unpacked.stat()
    if status.st_uid != os.getuid() or status.st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        raise UnpackError(f"{unpacked} can be changed by others; remove it")


def _unpack_path_in(file: str) -> str | None:
    import yaml  # noqa: PLC0415 - from the unpacked folder

    try:
        data = yaml.safe_load(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise UnpackError(f"{file}: cannot be read: {error}") from error
    finally:
        # From the archive, yaml lacks its native part; let later imports load it again.
        for name in [name for name in sys.modules if name.split(".")[0] == "yaml"]:
            del sys.modules[name]
    configured = data.get("unpack_path") if isinstance(data, dict) else None
    return str(configured) if configured else None


def _fail(text: str, code: int) -> int:
    print(f"crocusspindle: {text}", file=sys.stderr)
    return code
