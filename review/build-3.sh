#!/bin/sh
# Compiles the stand-ins and scenarios of the cases 11 to 15; they need no library.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/platform_3.py review/scene_3.py review/1[1-5]/scenario.py || exit 2
PYTHONPATH=target/deps:. python3 -c "import crocusrudder, review.scene_3"
