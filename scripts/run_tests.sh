#!/bin/sh
# usage: run_tests.sh BUILD [SUITE]
# Runs all tests, or those of a suite. Failures of the tests that KNOWN-RED.txt
# names are counted as skipped; any other failure fails the run. Ends with the
# line "N passed, N failed, N skipped".
set -u
build=$1
suite=${2:-}
log=$build/meson-logs/testlog.txt
meson test -C "$build" --no-rebuild --print-errorlogs ${suite:+--suite "$suite"}
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
    # Tests that break an invariant on purpose are expected to fail.
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
