#!/bin/sh
# Run a case by its number. Exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
timeout -k 5 110 .venv/bin/python -m "review.$1.scenario"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
