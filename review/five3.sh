#!/usr/bin/env bash
# Runs a script case five times, and once with TROUBLE=0; prints the statuses.
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do
    ./run.sh > /dev/null 2>&1
    echo "case $1: $?"
done
cp record.txt record-broken.tmp
TROUBLE=0 ./run.sh > /dev/null 2>&1
echo "case $1 with TROUBLE=0: $?"
mv record-broken.tmp record.txt
