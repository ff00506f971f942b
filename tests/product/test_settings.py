import pytest

from crocusspindle.errors import SettingsError
from crocusspindle.services.assembly import platform_adapter
from crocusspindle.settings import check_settings, fleet_key, load_settings
from crocusspindle.settings_schema import FleetSettings

VALID_SETTINGS = """\
node: {name: a1, domain: d1}
caller: {host: 127.0.0.1, port: 0}
peer: {host: 127.0.0.1, port: 0}
operator:
  host: 127.0.0.1
  port: 0
  principals:
    - {name: ops, role: operator, key_sha256: "%s"}
fleet: {name: demo, key_env: FLEET_KEY}
platform: {adapter: http, url: "http://127.0.0.1:1"}
""" % ("0" * 64)


def test_defaults_and_platform_options():
    settings = check_settings(VALID_SETTINGS, "a.yaml")
    assert settings.timings.freshness_ms == 4_000
    assert settings.limits.pollers_per_domain == 3
    assert settings.platform.options == {"url": "http://127.0.0.1:1"}
    with pytest.raises(Exception, match="frozen"):
        settings.node.name = "b"


def test_all_findings_are_reported_with_their_lines():
    text = VALID_SETTINGS.replace("role: operator", "role: boss").replace(
        "port: 0}\npeer", "prot: 0}\npeer"
    )
    text += "timings: {poll_ms: 3000}\nextra: 1\nextra: 2\n"
    with pytest.raises(SettingsError) as error:
        check_settings(text, "a.yaml")
    locations = [(finding.line, finding.path) for finding in error.value.findings]
    assert locations == [
        (2, "caller.port"),
        (2, "caller.prot"),
        (8, "operator.principals[0].role"),
        (11, "timings"),
        (12, "extra"),
        (13, "extra"),
    ]
    assert str(error.value.findings[1]) == "a.yaml:2: caller.prot: unknown key"


@pytest.mark.parametrize("text", ["", "- a", "a: [", "1: 2", "a: !!python/name:os.x"])
def test_non_mapping_is_rejected(text):
    with pytest.raises(SettingsError):
        check_settings(text, "a.yaml")


def test_missing_file_is_a_finding(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(tmp_path / "none.yaml")


@pytest.mark.parametrize(
    ("platform", "path"),
    [
        ("{adapter: none}", "platform.adapter"),
        ("{adapter: http}", "platform.url"),
        ('{adapter: http, url: "http://h", urll: x}', "platform.urll"),
    ],
)
def test_platform_options_are_validated(platform, path):
    lines = [*VALID_SETTINGS.splitlines()[:-1], f"platform: {platform}"]
    with pytest.raises(SettingsError) as error:
        platform_adapter(check_settings("\n".join(lines), "a.yaml"))
    assert [finding.path for finding in error.value.findings] == [path]


def test_fleet_key_from_file_or_environment(tmp_path):
    file = tmp_path / "key"
    file.write_text("k" * 20 + "\n")
    assert fleet_key(FleetSettings(name="f", key_file=file)) == b"k" * 20
    by_env = FleetSettings(name="f", key_env="K")
    assert fleet_key(by_env, {"K": "x" * 16}) == b"x" * 16
    with pytest.raises(SettingsError):
        fleet_key(by_env, {"K": "short"})
