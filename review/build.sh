#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python scripts that need the standard library alone, so nothing is compiled.
# The controllers are built by the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin/*.py [0-9]*/case.py <<'PYTHON'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PYTHON
