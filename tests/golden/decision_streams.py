"""Record decision streams, and compare the present policy's decisions with the recorded ones.

A stream holds the rounds of one scenario: the events that the policy received and the actions that
it returned.

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

# The folder of the package `golden`, and the repository's root with the program.
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from golden import decision_codec as codec
from golden.decision_incidents import INCIDENTS
from golden.decision_scenario import Scenario
from golden.decision_scenarios import SCENARIOS
from golden.decision_simulation import START_US, SimulatedPlatform

ROUNDS_BETWEEN_DIGESTS = 40  # of the policy's learned state
DIGEST_CHARACTERS = 12
FOLDER = Path(__file__).resolve().parent / "decisions"
STREAM_SUFFIX = ".json.gz"


def as_json(data: object) -> str:
    """Return the JSON form in which data is compared: keys sorted, floats by repr."""
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def digests(policy: codec.Policy) -> dict[str, str]:
    """Return short digests of what the policy has learned, by topic."""
    return {
        topic: hashlib.sha256(as_json(values).encode()).hexdigest()[:DIGEST_CHARACTERS]
        for topic, values in codec.learned_state(policy).items()
    }


def play_scenario(scenario: Scenario) -> dict:
    """Play a scenario against the present policy; return the stream of its rounds."""
    policy = codec.new_policy(scenario.settings, scenario.seed, START_US)
    rounds = []

    def decide(now_us: int, events: list[dict]) -> list[dict]:
        actions = codec.decide(policy, now_us, events)
        played = {"now_us": now_us, "events": events, "actions": actions}
        if len(rounds) % ROUNDS_BETWEEN_DIGESTS == 0:
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
    """Return the files of the recorded streams, sorted by name."""
    return sorted(FOLDER.glob(f"*{STREAM_SUFFIX}"), key=stream_name)


def stream_name(path: Path) -> str:
    """Return the name of the stream in this file."""
    return path.name.removesuffix(STREAM_SUFFIX)


def write_stream(stream: dict, path: Path) -> None:
    """Write one JSON object with a line for each round; the same stream gives the same bytes."""
    head = as_json({name: value for name, value in stream.items() if name != "rounds"})
    rounds = ",\n".join(map(as_json, stream["rounds"]))
    text = f'{head[:-1]},"rounds":[\n{rounds}\n]}}\n'
    path.write_bytes(gzip.compress(text.encode(), mtime=0))


def read_stream(path: Path) -> dict:
    """Return the stream of one file."""
    return json.loads(gzip.decompress(path.read_bytes()))


def first_difference(stream: dict) -> str | None:
    """Describe the first round that the present policy decides otherwise; None if there is none."""
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
    FOLDER.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        path = FOLDER / f"{scenario.name}{STREAM_SUFFIX}"
        stream = play_scenario(scenario)
        write_stream(stream, path)
        actions = sum(len(played["actions"]) for played in stream["rounds"])
        rounds, size = len(stream["rounds"]), path.stat().st_size
        print(f"{scenario.name}: {rounds} rounds, {actions} actions, {size} bytes")


def check() -> int:
    """Compare the present policy with the files; return the exit code."""
    found = [first_difference(read_stream(path)) for path in stream_files()]
    differences = [difference for difference in found if difference is not None]
    print("\n\n".join(differences) or f"{len(found)} streams without a difference")
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
