#!/usr/bin/env bash
# Prepares what the scripts of cases 4 to 8 start, besides the controller that the deploy file builds. The stand-ins are
# Python 3.9 or newer with its standard library alone, so they are only compiled to show errors early. No network is needed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in standin-2/*.py [4-8]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins of review/standin-2 are ready"
