"""The scenarios of the recorded streams, read from `decisions/scenarios.json`.

The settings of a scenario consist of job classes, tenants with their quotas, and groups of further
keys. The keys are the dotted keys of the wire. A scenario refers to classes by name, and to a group
or a set of tenants by name or by its written-out value if it is used only once. All other values of
a scenario are fields of `Scenario`; an omitted field has its default.
"""

from pathlib import Path

from golden.decision_scenario import Scenario
from golden.recorded_data import read_results

FOLDER = Path(__file__).resolve().parent / "decisions"
DATA = read_results(FOLDER, "scenarios")
WORKER_KIND = "kind"  # a class's key in the file; the wire has one list of the kinds of all classes


def class_fields(name: str) -> dict[str, object]:
    """Return a class's values under the keys of the wire's `services`, and its worker kind."""
    return {"name": name, **DATA["class_defaults"], **DATA["classes"][name]}


def class_settings(names: list[str]) -> dict[str, str]:
    """Return the dotted keys of these classes."""
    classes = [class_fields(name) for name in names]
    pairs = {"services.count": str(len(classes))}
    pairs["extra.class_kind"] = ",".join(str(fields[WORKER_KIND]) for fields in classes)
    for index, fields in enumerate(classes):
        for key, value in fields.items():
            if key != WORKER_KIND:
                pairs[f"services.{index}.{key}"] = str(value)
    return pairs


def tenant_settings(quotas: dict[str, float]) -> dict[str, str]:
    """Return the dotted keys of tenants with these quotas."""
    pairs = {"projects.count": str(len(quotas))}
    for index, (name, quota) in enumerate(quotas.items()):
        pairs[f"projects.{index}.name"] = name
        pairs[f"projects.{index}.quota_per_s"] = str(quota)
    return pairs


def resolve(part: str, value: str | dict) -> dict:
    """Return the value that a name stands for in this part of the file, or a written-out value."""
    return DATA[part][value] if isinstance(value, str) else value


def scenario_settings(given: dict) -> dict[str, str]:
    """Return the dotted keys of a scenario's settings."""
    pairs = {**DATA["defaults"], **class_settings(given["classes"])}
    pairs |= tenant_settings(resolve("tenants", given.get("tenants", {})))
    for group in given.get("groups", ()):
        pairs |= resolve("groups", group)
    return pairs


def read_scenario(name: str, given: dict) -> Scenario:
    """Return the scenario with the fields that the file gives."""
    fields = {
        field: tuple(value) if isinstance(value, list) else value for field, value in given.items()
    }
    fields["settings"] = scenario_settings(given["settings"])
    fields["reloads"] = tuple(scenario_settings(reload) for reload in given.get("reloads", ()))
    return Scenario(name, **fields)


SCENARIOS = [read_scenario(name, given) for name, given in DATA["scenarios"].items()]
