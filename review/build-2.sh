#!/bin/sh
# Run after the build of the deploy file. The stand-ins are Python files of this folder; what has to
# be there besides are the packages that pyproject.toml declares for `operator` and `fleet`.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import msgspec, structlog, rich' 2>/dev/null ||
    .venv/bin/python -c 'import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print("\n".join(sorted({*extras["operator"], *extras["fleet"]})))' |
    xargs .venv/bin/pip -q install
.venv/bin/python -m compileall -q review/standins2
