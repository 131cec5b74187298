"""Recorded decision streams: what the policy decided, round by round, when they were recorded.

Usage:
  python tests/golden/decision_streams.py record   write decisions/*.json.gz with the present policy
  python tests/golden/decision_streams.py check    compare the present policy with the files

Record anew only where the policy is meant to decide otherwise, and say so in the commit.
"""

import gzip
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))  # `golden`, and below the program
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from golden import decision_codec as codec
from golden.decision_scenarios import SCENARIOS
from golden.decision_world import START_US, Scenario, World

RECORDED = Path(__file__).resolve().parent / "decisions"
SUFFIX = ".json.gz"


def as_json(data: object) -> str:
    """The one JSON form that is compared: keys sorted, floats by repr."""
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def play(scenario: Scenario) -> dict:
    """A scenario played against the present policy, as a stream."""
    policy = codec.new_policy(scenario.settings, scenario.seed, START_US)
    world = World(scenario, lambda now_us, events: codec.decide(policy, now_us, events))
    return {
        "name": scenario.name,
        "settings": scenario.settings,
        "seed": scenario.seed,
        "start_us": START_US,
        "rounds": world.play(),
    }


def stream_files() -> list[Path]:
    """The recorded streams, by name."""
    return sorted(RECORDED.glob(f"*{SUFFIX}"), key=stream_name)


def stream_name(path: Path) -> str:
    """What the stream in this file is called."""
    return path.name.removesuffix(SUFFIX)


def write_stream(stream: dict, path: Path) -> None:
    """One JSON object, with a line for each round; the same stream gives the same bytes."""
    head = as_json({name: value for name, value in stream.items() if name != "rounds"})
    rounds = ",\n".join(map(as_json, stream["rounds"]))
    text = f'{head[:-1]},"rounds":[\n{rounds}\n]}}\n'
    path.write_bytes(gzip.compress(text.encode(), mtime=0))


def read_stream(path: Path) -> dict:
    """The stream of one file."""
    return json.loads(gzip.decompress(path.read_bytes()))


def first_difference(stream: dict) -> str | None:
    """None if the present policy decides the same, else the first round that differs."""
    policy = codec.new_policy(stream["settings"], stream["seed"], stream["start_us"])
    for number, recorded in enumerate(stream["rounds"]):
        expected = as_json(recorded["actions"])
        decided = as_json(codec.decide(policy, recorded["now_us"], recorded["events"]))
        if decided != expected:
            return (
                f"{stream['name']}: round {number} at {recorded['now_us']} us differs\n"
                f"events:   {as_json(recorded['events'])}\n"
                f"recorded: {expected}\n"
                f"decided:  {decided}"
            )
    return None


def record() -> None:
    RECORDED.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        path = RECORDED / f"{scenario.name}{SUFFIX}"
        stream = play(scenario)
        write_stream(stream, path)
        actions = sum(len(played["actions"]) for played in stream["rounds"])
        rounds, size = len(stream["rounds"]), path.stat().st_size
        print(f"{scenario.name}: {rounds} rounds, {actions} actions, {size} bytes")


def check() -> int:
    found = [first_difference(read_stream(path)) for path in stream_files()]
    differences = [difference for difference in found if difference is not None]
    print("\n\n".join(differences) or f"{len(found)} streams are decided the same")
    return 1 if differences else 0


def main(words: list[str]) -> int:
    match words:
        case ["record"]:
            record()
            return 0
        case ["check"]:
            return check()
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
