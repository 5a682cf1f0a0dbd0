#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
exec timeout -k 5 118 python3 review/5/case.py
