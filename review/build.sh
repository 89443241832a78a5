#!/bin/sh
# Checks that the stand-ins, which need no build, can be imported after the users' build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c "import review.platform, review.scene"
