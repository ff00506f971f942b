"""Run the capacity benchmark, or check deterministic figures against bounds."""

import sys

import fire

from benchmarks import capacity, gray_targets, health, placing, queueing, shares


def check() -> None:
    """Check all bounded figures; print those out of bounds and exit with status 1."""
    all_findings: list[str] = []
    for name, module in (
        ("health", health),
        ("gray targets", gray_targets),
        ("placing", placing),
        ("queueing", queueing),
        ("shares", shares),
    ):
        findings = module.check()
        print(f"{name}: {len(findings)} out of bounds", flush=True)
        all_findings += [f"{name}: {finding}" for finding in findings]
    for finding in all_findings:
        print(finding)
    sys.exit(1 if all_findings else 0)


if __name__ == "__main__":
    fire.Fire({"check": check, "capacity": capacity.main})
