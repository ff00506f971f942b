#!/bin/sh
# Run the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps:target/review:review
python3 -S -c "import crocusspindle.gateway, harness" || exit 2
exec python3 -S review/2/case.py
