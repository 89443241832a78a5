#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
timeout --kill-after=10 105 python3 -m review.6.scene
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
