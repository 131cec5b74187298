#!/bin/sh
# Prepare the stand-ins and the programs that the cases start. Run it from the root, after the
# build of the deploy file. The stand-ins need the standard library only; the dispatcher needs the
# packages of `.[operator]`, for the operator's file.
set -e
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import msgspec' 2>/dev/null; then
    .venv/bin/python - <<'P' >review/.requirements
import tomllib

with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
print("\n".join(extras["operator"]))
P
    .venv/bin/pip -q install -r review/.requirements
    rm -f review/.requirements
fi
.venv/bin/python -m compileall -q review stepstream
