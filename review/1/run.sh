#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec python3 ../standins/launch.py play.py
