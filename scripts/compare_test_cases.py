"""Compare the test cases of two checkouts; print the lost ones, the new ones and the counts.

Usage:
  compare_test_cases.py OLD NEW [--renames FILE]

Options:
  --renames FILE  Lines `old id -> new id`, by function (file::function, without its parameters); a
                  line may name several new ids, separated by commas.

A function of OLD is printed as gone, and the exit code is 1, if NEW has neither its id nor a rename
of it, or if the function has fewer cases than before. Run the script with the interpreter of a
virtual environment that has the development requirements.
"""

import subprocess
import sys
from collections import Counter
from pathlib import Path

from docopt import docopt

RENAME_ARROW = " -> "


def case_counts(checkout: Path) -> Counter[str]:
    """Return the number of cases of each test function of a checkout, by file::function."""
    collected = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider"],
        cwd=checkout,
        capture_output=True,
        text=True,
        check=True,
    )
    ids = [line for line in collected.stdout.splitlines() if "::" in line]
    return Counter(test_id.partition("[")[0] for test_id in ids)


def read_renames(path: str | None) -> dict[str, list[str]]:
    """Return the new ids by old id; none without a file."""
    if path is None:
        return {}
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    pairs = [line.split(RENAME_ARROW, 1) for line in lines if RENAME_ARROW in line]
    return {old.strip(): [new_id.strip() for new_id in new.split(",")] for old, new in pairs}


def lost_cases(
    old: Counter[str], new: Counter[str], renames: dict[str, list[str]]
) -> dict[str, int]:
    """Return for each old function how many cases the functions that replace it lack."""
    lost = {}
    for function, count in old.items():
        successors = renames.get(function, [function])
        kept = sum(new[name] for name in successors)
        if kept < count:
            lost[function] = count - kept
    return lost


def main() -> int:
    """Compare with the options of the command line; return the exit code."""
    arguments = docopt(__doc__)
    old = case_counts(Path(arguments["OLD"]))
    new = case_counts(Path(arguments["NEW"]))
    renames = read_renames(arguments["--renames"])
    for function, successors in renames.items():
        print(f"renamed: {function}{RENAME_ARROW}{', '.join(successors)}")
    renamed = {successor for names in renames.values() for successor in names}
    for function in sorted(set(new) - set(old) - renamed):
        print(f"new: {function}: {new[function]}")
    lost = lost_cases(old, new, renames)
    for function, count in lost.items():
        print(f"gone: {function}: {count} of {old[function]}")
    print(f"cases: {old.total()} before, {new.total()} after; functions: {len(old)}, {len(new)}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
