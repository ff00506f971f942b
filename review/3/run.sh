#!/bin/sh
# Run the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:target/review:review exec python3 -S review/3/case.py
