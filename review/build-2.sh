#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the job daemon.
# Their stand-ins are Python programs without dependencies, in
# review/standins-2/; this only checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' \
    standins-2/*.py [6-9]/case.py 10/case.py
