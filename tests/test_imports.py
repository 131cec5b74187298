"""All imports go one way: no circles, typing's included, and no room knows one above it."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
SUBSYSTEMS = ("admin", "fleet", "gearman", "identity", "lab", "leases", "upgrade")


def imports():
    """Module by module, what of the program it imports anywhere in its text."""
    files = {
        ".".join(p.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): p
        for p in (ROOT / "stepstream").rglob("*.py")
    }
    graph = {}
    for name, path in files.items():
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                inner = {f"{node.module}.{alias.name}" for alias in node.names}
                found |= {m for m in inner | {node.module} if m in files}
            elif isinstance(node, ast.Import):
                found |= {alias.name for alias in node.names if alias.name in files}
        # A package stands for its modules; only the topmost one re-exports, and nothing inside uses that.
        graph[name] = found - {name, "stepstream"}
    return graph


def test_there_is_no_circle():
    graph = imports()
    assert len(list(TopologicalSorter(graph).static_order())) >= len(graph) > 60


def test_only_the_wiring_and_the_command_line_know_a_subsystem():
    for name, found in imports().items():
        room = name.split(".")[1] if "." in name else ""
        if room in SUBSYSTEMS or name in ("stepstream.cli", "stepstream.node"):
            continue
        assert not {m for m in found if m.split(".")[1] in SUBSYSTEMS}, name
    inner = {name: found for name, found in imports().items() if name.startswith("stepstream.net.")}
    assert not any(
        "stepstream.node" in found or "stepstream.host" in found for found in inner.values()
    )
