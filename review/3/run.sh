#!/usr/bin/env bash
# Plays the case. TROUBLE=0: without the disruption. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=TERM --kill-after=3 119 python3 -B case.py
