#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: no result. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python review/10/case.py
