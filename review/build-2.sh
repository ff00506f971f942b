#!/bin/sh
# Put what the scripts of cases 4 to 8 start beside the built program: the project's
# stand-ins. Their libraries are those under target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/crocusspindle_standins target/review-2/
PYTHONPATH=target/deps:target/review-2 target/bin/python3 -S -c \
  'import crocusspindle_standins.on_platform.target, crocusspindle_standins.on_platform.store'
