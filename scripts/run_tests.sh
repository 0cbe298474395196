#!/bin/sh
# Runs every test, lets only the tests named in KNOWN-RED.txt fail, and ends
# with the line "N passed, N failed".
set -u
build=$1
log=$build/meson-logs/testlog.txt
meson test -C "$build" --no-rebuild --print-errorlogs
passed=0
failed=0
red=0
results=$build/test-results.txt
grep -hoE '"name": "[^"]*"|"result": "[A-Z]+"' \
    "$build/meson-logs/testlog.json" |
    sed 's/"name": "//; s/"result": "//; s/"$//' | paste - - >"$results"
while read -r line; do
    result=${line##*[[:space:]]}
    name=${line%[[:space:]]*}
    name=${name##* }
    # A run with a promise broken on purpose has to fail.
    if [ "$result" = OK ] || [ "$result" = EXPECTEDFAIL ]; then
        passed=$((passed + 1))
    elif grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
        red=$((red + 1))
        echo "known red: $name ($result)"
    else
        failed=$((failed + 1))
        echo "failed: $name ($result), see $log"
    fi
done <"$results"
if [ $((passed + failed + red)) -eq 0 ]; then
    echo "no test was run"
    exit 1
fi
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
