"""Build the binary from the locked distributions of this environment."""

import hashlib
import importlib.util
import io
import re
import sys
import zipfile
from dataclasses import dataclass
from importlib import metadata
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).resolve().parent.parent
SHEBANG = b"#!/usr/bin/env python3\n"
# The archive holds no real times, so that two builds are identical.
FIXED_TIME = (2020, 1, 1, 0, 0, 0)
MAIN = """\
import sys
from pathlib import Path

from crocusspindle.unpack import start

sys.exit(start(Path(sys.path[0])))
"""
EXCLUDED_NAMES = {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"}
EXCLUDED_SUFFIXES = {".pyc", ".pyx", ".pxd", ".pyi", ".c", ".h", ".proto", ".pth"}
EXCLUDED_FOLDERS = {"tests", "testing", "__pycache__"}


@dataclass(frozen=True)
class BundledFile:
    """Hold one file of the binary.

    ``native`` marks the importable files of a distribution with extension modules.
    """

    name: str
    content: bytes
    native: bool = False


def locked_versions() -> dict[str, str]:
    """Return the locked version of each distribution by name."""
    lines = (ROOT / "requirements.lock").read_text().split()
    return dict(line.split("==") for line in lines)


def distribution_files(name: str, version: str) -> list[BundledFile]:
    """Return the files of a distribution; exit if its version is not the locked one."""
    distribution = metadata.distribution(name)
    if distribution.version != version:
        sys.exit(f"{name} is {distribution.version}, the lock file has {version}")
    paths = [path for path in distribution.files or [] if _is_included(path)]
    native = any(path.suffix == ".so" for path in paths)
    return [
        BundledFile(
            path.as_posix(), path.locate().read_bytes(), native and _is_importable(path)
        )
        for path in paths
    ]


def own_files() -> list[BundledFile]:
    """Return the files of crocusspindle itself."""
    source = ROOT / "src"
    sources = (source / "crocusspindle").rglob("*.py")
    return [
        BundledFile(f.relative_to(source).as_posix(), f.read_bytes()) for f in sources
    ]


def compiled_module(file: BundledFile) -> BundledFile:
    """Return a module's bytecode, free of timestamps and local paths."""
    code = compile(file.content, file.name, "exec", dont_inherit=True)
    digest = importlib.util.source_hash(file.content)
    pyc = importlib._bootstrap_external._code_to_hash_pyc(code, digest, checked=False)
    path = PurePosixPath(file.name)
    if file.native:
        name = path.parent / "__pycache__" / f"{path.stem}.cpython-311.pyc"
    else:
        name = path.with_suffix(".pyc")
    return BundledFile(str(name), bytes(pyc), file.native)


def build() -> bytes:
    """Return the binary."""
    files = own_files()
    for name, version in sorted(locked_versions().items()):
        files += distribution_files(name, version)
    files.sort(key=lambda file: file.name)
    files += [compiled_module(file) for file in files if file.name.endswith(".py")]
    native = "".join(f"{file.name}\n" for file in files if file.native)
    files += [
        BundledFile("NATIVE", native.encode()),
        BundledFile("__main__.py", MAIN.encode()),
    ]
    files.append(BundledFile("DIGEST", _digest(files).encode()))
    return SHEBANG + _zip_archive(sorted(files, key=lambda file: file.name))


def _digest(files: list[BundledFile]) -> str:
    combined = hashlib.sha256()
    for file in sorted(files, key=lambda file: file.name):
        combined.update(file.name.encode() + b"\0")
        combined.update(hashlib.sha256(file.content).digest())
    return combined.hexdigest()


def _zip_archive(files: list[BundledFile]) -> bytes:
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_DEFLATED, compresslevel=6) as bundle:
        for folder in _folders(files):
            entry = zipfile.ZipInfo(folder, FIXED_TIME)
            entry.create_system = 3
            entry.external_attr = 0o40755 << 16
            bundle.writestr(entry, b"")
        for file in files:
            entry = zipfile.ZipInfo(file.name, FIXED_TIME)
            entry.compress_type = zipfile.ZIP_DEFLATED
            entry.create_system = 3
            entry.external_attr = 0o644 << 16
            bundle.writestr(entry, file.content)
    return buffer.getvalue()


def _folders(files: list[BundledFile]) -> list[str]:
    """Return all folders; namespace packages are found only if they have an entry."""
    parents = {str(up) for file in files for up in PurePosixPath(file.name).parents}
    return sorted(f"{parent}/" for parent in parents - {"."})


def _is_included(path: metadata.PackagePath) -> bool:
    if path.parts[0] == ".." or path.name in EXCLUDED_NAMES:
        return False
    if path.suffix in EXCLUDED_SUFFIXES or re.match(r"_testcapi", path.name):
        return False
    return not EXCLUDED_FOLDERS.intersection(path.parts)


def _is_importable(path: metadata.PackagePath) -> bool:
    return not path.parts[0].endswith(".dist-info")


if __name__ == "__main__":
    Path(sys.argv[1]).write_bytes(build())
