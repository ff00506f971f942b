"""Start the binary: unpack its native parts to the named folder, then run.

The binary is a zip file that Python runs; shared libraries cannot be loaded out of
it. Hosts have no disk, so they are unpacked only to a folder in memory that the
operator names. Everything happens in the one process. This module uses the
standard library only, because it runs before anything is unpacked.
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
USAGE: Final = 2
FINDINGS: Final = 3


class UnpackError(Exception):
    """Report that the native parts cannot be unpacked."""


def start(archive: Path) -> int:
    """Run the command line out of the archive and return its exit code."""
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
    """Return the folder that the environment or the settings name.

    None means that the command needs no native parts. Raise ``UnpackError`` when
    it needs them and no folder is named.
    """
    named = environment.get(UNPACK_ENV)
    if named:
        return Path(named)
    file = settings_file(arguments)
    if file is None:
        return None
    named = _unpack_path_in(file)
    if named is None:
        raise UnpackError(
            f"{file}: unpack_path: is missing; name a folder in memory there "
            f"or in {UNPACK_ENV}"
        )
    return Path(named)


def settings_file(arguments: Sequence[str]) -> str | None:
    """Return the settings file that a command line names."""
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
    """Unpack the native parts below a folder, once for each build of the binary."""
    try:
        with zipfile.ZipFile(archive) as bundle:
            digest = bundle.read(DIGEST_FILE).decode()
            names = bundle.read(NATIVE_LIST).decode().splitlines()
            home = folder / f"crocusspindle-{digest[:16]}"
            if not home.exists():
                _unpack_whole(bundle, names, home)
    except (OSError, zipfile.BadZipFile) as error:
        raise UnpackError(f"cannot unpack to {folder}: {error}") from error
    _check_owner(home)
    return home


def _unpack_whole(bundle: zipfile.ZipFile, names: list[str], home: Path) -> None:
    # Two nodes of a host may start at once, or one be killed while it unpacks.
    # Either would leave half a folder that later starts trust; the rename makes
    # a folder appear only whole.
    home.parent.mkdir(parents=True, exist_ok=True)
    part = Path(tempfile.mkdtemp(prefix=".crocusspindle-", dir=home.parent))
    try:
        bundle.extractall(part, names)
        part.rename(home)
    except OSError:
        shutil.rmtree(part, ignore_errors=True)
        if not home.exists():
            raise


def _check_owner(home: Path) -> None:
    # In a folder that everyone may write to, somebody else could put libraries
    # of their own where this process would load them.
    status = home.stat()
    if status.st_uid != os.getuid() or status.st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        raise UnpackError(f"{home} can be changed by others; remove it")


def _unpack_path_in(file: str) -> str | None:
    import yaml  # noqa: PLC0415 - from the unpacked folder

    try:
        data = yaml.safe_load(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise UnpackError(f"{file}: cannot be read: {error}") from error
    finally:
        # Found in the archive, it lacks its native part.
        for name in [name for name in sys.modules if name.split(".")[0] == "yaml"]:
            del sys.modules[name]
    named = data.get("unpack_path") if isinstance(data, dict) else None
    return str(named) if named else None


def _fail(text: str, code: int) -> int:
    print(f"crocusspindle: {text}", file=sys.stderr)
    return code
