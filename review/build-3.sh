#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library alone (meson, which builds the project, needs Python
# too), and are started as they are. The cases start no stand-in of the
# project. The daemons are those of the deploy file's build.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/run.py; do
    if [ -f "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
