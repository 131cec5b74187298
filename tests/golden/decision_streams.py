"""Recorded decision streams: what the policy decided, round by round, when they were recorded.

Usage:
  python tests/golden/decision_streams.py record   write decisions/*.json.gz with the present policy
  python tests/golden/decision_streams.py check    compare the present policy with the files

Record anew only where the policy is meant to decide otherwise, and say so in the commit.
"""

import gzip
import hashlib
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))  # `golden`, and below the program
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from golden import decision_codec as codec
from golden.decision_incidents import INCIDENTS
from golden.decision_scenario import Scenario
from golden.decision_scenarios import SCENARIOS
from golden.decision_simulation import START_US, SimulatedPlatform

LEARNED_EVERY = 40  # rounds between two digests of what the policy has learned
DIGEST_CHARACTERS = 12
RECORDED = Path(__file__).resolve().parent / "decisions"
SUFFIX = ".json.gz"


def as_json(data: object) -> str:
    """The one JSON form that is compared: keys sorted, floats by repr."""
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def digests(policy: codec.Policy) -> dict[str, str]:
    """Short digests of what the policy has learned, by topic."""
    return {
        topic: hashlib.sha256(as_json(values).encode()).hexdigest()[:DIGEST_CHARACTERS]
        for topic, values in codec.learned(policy).items()
    }


def play(scenario: Scenario) -> dict:
    """A scenario played against the present policy, as a stream."""
    policy = codec.new_policy(scenario.settings, scenario.seed, START_US)
    rounds = []

    def decide(now_us: int, events: list[dict]) -> list[dict]:
        actions = codec.decide(policy, now_us, events)
        played = {"now_us": now_us, "events": events, "actions": actions}
        if len(rounds) % LEARNED_EVERY == 0:
            played["learned"] = digests(policy)
        rounds.append(played)
        return actions

    SimulatedPlatform(scenario, decide, INCIDENTS).play()
    rounds[-1]["learned"] = digests(policy)
    return {
        "name": scenario.name,
        "settings": scenario.settings,
        "seed": scenario.seed,
        "start_us": START_US,
        "rounds": rounds,
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
        actions = codec.decide(policy, recorded["now_us"], recorded["events"])
        expected, decided = as_json(recorded["actions"]), as_json(actions)
        if decided == expected and "learned" in recorded:
            expected, decided = as_json(recorded["learned"]), as_json(digests(policy))
        if decided != expected:
            return (
                f"{stream['name']}: round {number} at {recorded['now_us']} us differs\n"
                f"events:   {as_json(recorded['events'])}\n"
                f"recorded: {expected}\n"
                f"now:      {decided}"
            )
    return None


def record() -> None:
    """Write the stream of each scenario with the present policy."""
    RECORDED.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        path = RECORDED / f"{scenario.name}{SUFFIX}"
        stream = play(scenario)
        write_stream(stream, path)
        actions = sum(len(played["actions"]) for played in stream["rounds"])
        rounds, size = len(stream["rounds"]), path.stat().st_size
        print(f"{scenario.name}: {rounds} rounds, {actions} actions, {size} bytes")


def check() -> int:
    """Compare the present policy with the files; return the exit code."""
    found = [first_difference(read_stream(path)) for path in stream_files()]
    differences = [difference for difference in found if difference is not None]
    print("\n\n".join(differences) or f"{len(found)} streams are decided the same")
    return 1 if differences else 0


def main(arguments: list[str]) -> int:
    """Run the command; return the exit code."""
    match arguments:
        case ["record"]:
            record()
            return 0
        case ["check"]:
            return check()
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
