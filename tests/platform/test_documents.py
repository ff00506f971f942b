"""Tests of parsing valid and invalid platform documents."""

import json
import math

import pytest

from crocusspindle.core.configuration import RequestKind, choose_service
from crocusspindle.core.listed_target import Readiness
from crocusspindle.errors import InvalidInputError, MalformedError, SettingsError
from crocusspindle.platform.documents import parse_configuration, parse_target
from crocusspindle.platform.settings_file import translate

ROUTE = {
    "host": "hall.example",
    "prefix": "/bowls/",
    "kind": "safe",
    "timeout_s": 2,
    "target_latency_s": 0.8,
    "priority": 2,
    "split": [{"service": "old", "weight": 90}, {"service": "new", "weight": 10}],
    "attempts": 2,
}
CONFIGURATION = {
    "version": "0000000c",
    "routes": {
        "bowls": ROUTE,
        "all": {
            "host": "hall.example",
            "prefix": "/",
            "kind": "unsafe",
            "timeout_s": 1.5,
            "service": "rest",
            "public": True,
        },
    },
    "limits": {"header_bytes": 100, "body_bytes": 200, "idle_timeout_s": 15},
    "tenants": {
        "club": {"api_keys": ["k1", "k2"], "priority": 1, "per_s": 36, "burst": 5}
    },
}
TARGET = {
    "address": "10.0.0.9:8080",
    "information": {"service": "old", "version": "v1", "zone": "a", "slots": 2},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_s": 0},
}
SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "ip_address": "127.0.0.1",
    "internal_ports": [7340, 7355],
    "listen": {"front": "h:1", "ready": "h:2", "directory": "h:3"},
    "bounds": {"revocation_s": 5, "fail_closed": True},
    "platform": {"address": "h:4", "form": "table"},
}


def parsed_configuration():
    return parse_configuration(json.dumps(CONFIGURATION).encode())


def test_configuration_fields_match_the_document():
    configuration = parsed_configuration()
    assert configuration.version == 12
    route = configuration.route("hall.example", "/bowls/oak")
    assert route.kind is RequestKind.SAFE and route.timeout_ms == 2_000
    assert configuration.customer_of("k2").rate_per_s == 36
    assert configuration.customer_of("k3") is None
    assert configuration.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/bowls/", "bowls"),
        ("/bowls/a/b", "bowls"),
        ("/bowls", "all"),
        ("/", "all"),
        ("bowls", None),
    ],
)
def test_route_with_longest_prefix_matches(path, name):
    route = parsed_configuration().route("hall.example", path)
    assert (route.name if route else None) == name


def test_services_are_chosen_by_weight():
    weighted_services = (
        parsed_configuration().route("hall.example", "/bowls/").weighted_services
    )
    choices = [choose_service(weighted_services, n / 1_000) for n in range(1_000)]
    assert choices.count("new") == 100


def test_invalid_configuration_reports_all_findings():
    """An operator's tool writes two invalid routes."""
    document = json.loads(json.dumps(CONFIGURATION))
    del document["routes"]["bowls"]["host"]
    document["routes"]["all"]["kind"] = "sometimes"
    with pytest.raises(InvalidInputError) as failed:
        parse_configuration(json.dumps(document).encode())
    paths = [finding.path for finding in failed.value.findings]
    assert paths == ["routes.bowls", "routes.all"]


def test_target_fields_match_the_entry():
    target = parse_target("i-1", json.dumps(TARGET).encode())
    assert target.identity == "i-1" and target.slots == 2
    assert target.readiness is Readiness.READY


@pytest.mark.parametrize(
    "change",
    [
        {"address": None},
        {"address": "no-port"},
        {"information": {"service": "old", "zone": "a", "slots": "two"}},
        {"information": {"service": 7, "zone": "a", "slots": 2}},
        {"status": {"state": "sleeping"}},
        {"status": None},
        {"information": []},
        {"address": "10.0.0.9:\u00b2"},
        {"address": "10.0.0.9:65536"},
        {"address": "a b:80"},
        {"information": {"service": "old", "zone": "a \ud83d", "slots": 2}},
        {"information": {"service": "old", "zone": "a", "slots": 10**20}},
        {"born": 10**20},
    ],
)
def test_malformed_entry_is_not_a_target(change):
    """Another program writes entries into the list of targets.

    Partly parsed, such an entry would send callers' requests to a wrong address.
    """
    with pytest.raises(MalformedError):
        parse_target("i-1", json.dumps({**TARGET, **change}).encode())


@pytest.mark.parametrize(
    ("remaining_s", "cold"), [(0, False), (0.4, True), (None, True), ("1.5", True)]
)
def test_entry_shows_a_cold_target(remaining_s, cold):
    """Guards against full load on a target whose state can't be read."""
    status = {"state": "ready", "cold_remaining_s": remaining_s}
    target = parse_target("i-1", json.dumps({**TARGET, "status": status}).encode())
    assert target.cold is cold


def test_service_without_a_rate_has_no_limit_for_cold_targets():
    rule = {"warm_up_s": 3.0, "cold_per_s": 7.5}
    document = {**CONFIGURATION, "services": {"old": {}, "new": rule}}
    services = parse_configuration(json.dumps(document).encode()).services
    assert services["old"].cold_per_s is None
    assert (services["new"].warm_up_ms, services["new"].cold_per_s) == (3_000.0, 7.5)


@pytest.mark.parametrize("value", [b"\xff\x00", b"[]", b"[" * 2_000])
def test_undecodable_entry_is_not_a_target(value):
    with pytest.raises(MalformedError):
        parse_target("i-1", value)


def test_settings_match_the_platforms_file():
    settings = translate(SETTINGS, "file")
    assert settings.host == "front-a-1" and settings.peer_port == 7340
    assert settings.bounds.revocation_ms == 5_000
    assert settings.bounds.view_fence_ms == 3_000


def test_capacity_is_limited_by_cpu_or_link():
    limits = {"cpu_share": 0.5, "cores": 3, "link_mbps": 10.0}
    assert translate({**SETTINGS, "limits": limits}, "file").capacity == 10
    limits["link_mbps"] = 1_000.0
    assert translate({**SETTINGS, "limits": limits}, "file").capacity == 150
    assert translate(SETTINGS, "file").capacity == 100


def test_memory_is_bounded_only_by_settings_that_name_it():
    """Guards against measures on hosts whose memory is not known."""
    assert translate(SETTINGS, "file").memory_mb == math.inf
    document = {**SETTINGS, "limits": {"memory_mb": 152}}
    assert translate(document, "file").memory_mb == 152


def test_the_longest_response_follows_the_settings():
    """Guards against services with longer bodies whose bound can't be raised."""
    assert translate(SETTINGS, "file").max_response_bytes == 128_000_000
    document = {**SETTINGS, "limits": {"response_mb": 1.5}}
    assert translate(document, "file").max_response_bytes == 1_500_000


@pytest.mark.parametrize("response_mb", [0, -1, "much", True, math.nan])
def test_an_invalid_length_of_responses_is_a_finding(response_mb):
    """Guards against a bound that refuses every response, or none."""
    with pytest.raises(SettingsError, match=r"limits\.response_mb"):
        translate({**SETTINGS, "limits": {"response_mb": response_mb}}, "file")


@pytest.mark.parametrize("memory_mb", [0, -1, "much", True, math.nan])
def test_an_invalid_memory_size_is_a_finding(memory_mb):
    """Guards against a bound that refuses everything, or a host without one."""
    with pytest.raises(SettingsError, match=r"limits\.memory_mb"):
        translate({**SETTINGS, "limits": {"memory_mb": memory_mb}}, "file")


@pytest.mark.parametrize("limits", [{"cores": 0}, {"link_mbps": "ten"}, "none"])
def test_non_positive_limits_are_findings(limits):
    with pytest.raises(SettingsError, match=r"limits\."):
        translate({**SETTINGS, "limits": limits}, "file")


@pytest.mark.parametrize("bounds", [3, "", []])
def test_bounds_that_are_no_table_are_a_finding(bounds):
    """Guards against a node that ends as its settings are changed."""
    with pytest.raises(SettingsError, match="bounds: must be a table"):
        translate({**SETTINGS, "bounds": bounds}, "file")


@pytest.mark.parametrize("grace_s", [math.nan, math.inf, -1, True])
def test_a_bound_that_is_no_time_is_a_finding(grace_s):
    """Guards against a stop that ends at once, or never."""
    with pytest.raises(SettingsError, match=r"bounds\.grace_s"):
        translate({**SETTINGS, "bounds": {"grace_s": grace_s}}, "file")


def test_invalid_settings_report_all_findings():
    bad = {**SETTINGS, "node": 3, "internal_ports": [], "bounds": {"grace_s": "x"}}
    with pytest.raises(SettingsError) as failed:
        translate(bad, "file")
    paths = {finding.path for finding in failed.value.findings}
    assert paths == {"node", "internal_ports", "bounds.grace_s"}
