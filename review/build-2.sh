#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. All are Python: this checks that
# each of them compiles.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q tools/standin review/platform_2.py review/scene_2.py
python3 -c "import review.platform_2, review.scene_2"
