import zipfile

import pytest

from crocusspindle.unpack import UnpackError, settings_file, unpack, unpack_folder


@pytest.mark.parametrize(
    ("line", "file"),
    [
        ("node a.yaml", "a.yaml"),
        ("node --settings a.yaml --output json", "a.yaml"),
        ("--output json check-settings --settings=a.yaml", "a.yaml"),
        ("node --help", None),
        ("node", None),
        ("status --operator x", None),
    ],
)
def test_settings_file(line, file):
    assert settings_file(line.split()) == file


def test_unpack_folder_from_environment_or_settings(tmp_path):
    file = tmp_path / "a.yaml"
    file.write_text("node: {}\n")
    arguments = ["node", str(file)]
    assert unpack_folder(["status"], {}) is None
    assert str(unpack_folder(arguments, {"CROCUSSPINDLE_UNPACK": "/e"})) == "/e"
    with pytest.raises(UnpackError, match="unpack_path: is missing"):
        unpack_folder(arguments, {})
    file.write_text("unpack_path: /m\n")
    assert str(unpack_folder(arguments, {})) == "/m"


def test_interrupted_unpacking_leaves_no_folder(tmp_path):
    """A node is killed, or its folder is full, while it unpacks.

    The next start must unpack everything again, not load an incomplete folder. Here a
    file that the archive lacks interrupts the unpacking.
    """
    archive, folder = tmp_path / "bundle", tmp_path / "memory"
    with zipfile.ZipFile(archive, "w") as bundle:
        bundle.writestr("DIGEST", "d" * 64)
        bundle.writestr("NATIVE", "a.so\nmissing.so\n")
        bundle.writestr("a.so", "x")
    with pytest.raises(KeyError):
        unpack(archive, folder)
    assert not list(folder.glob("crocusspindle-*"))

    with zipfile.ZipFile(archive, "a") as bundle:
        bundle.writestr("missing.so", "y")
    unpacked = unpack(archive, folder)
    assert {file.name for file in unpacked.iterdir()} == {"a.so", "missing.so"}
    assert unpack(archive, folder) == unpacked

    unpacked.chmod(0o777)
    with pytest.raises(UnpackError, match="changed by others"):
        unpack(archive, folder)
