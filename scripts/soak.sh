#!/bin/sh
# usage: soak.sh BUILD [SEEDS [FIRST]]
# Runs the soak test with the seeds of soak/regressions.txt, then with SEEDS
# consecutive seeds from FIRST on (default: the current time), AT_ONCE of them
# in parallel. Ends with the line "N passed, N failed"; logs of failed seeds
# stay in BUILD/soak-runs.
set -u
build=$1
seeds=${2:-50}
first=${3:-$(date +%s)}
at_once=${AT_ONCE:-4}
runs=$build/soak-runs
rm -rf "$runs"
mkdir -p "$runs"
list=$runs/seeds.txt
sed 's/#.*//' soak/regressions.txt | grep -oE '^[0-9]+' >"$list"
i=0
while [ "$i" -lt "$seeds" ]; do
    echo $((first + i)) >>"$list"
    i=$((i + 1))
done
export build runs
# Each parallel slot uses its own range of ports.
xargs -P "$at_once" --process-slot-var=slot -I{} sh -c '
    port=$((26000 + slot * 100))
    if "$build/soak/soak" "$build" "$port" {} >"$runs/{}.log" 2>&1; then
        echo "{} passed" >>"$runs/results.txt"
        rm "$runs/{}.log"
    else
        echo "{} failed" >>"$runs/results.txt"
    fi' <"$list"
passed=$(grep -c passed "$runs/results.txt")
failed=$(grep -c failed "$runs/results.txt")
grep failed "$runs/results.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
