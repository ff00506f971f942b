#!/bin/sh
# Copy the project's stand-ins beside the built libraries; needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r src/crocusspindle_standins target/review/crocusspindle_standins
PYTHONPATH=target/deps:target/review python3 -S -c "import crocusspindle_standins.on_platform.store"
