"""Imports have no cycles, those for types included, and no package imports one above it."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
SUBSYSTEMS = {"admin", "membership", "gearman", "identity", "leases", "hot_restart"}
# Package by package, the other packages (or top-level modules) of the program that it may import.
MAY_IMPORT = {
    "model": set(),
    "policy": {"model"},
    "config": {"model"},
    "core": {"model", "policy"},
    "ports": {"config", "core", "model"},
    "runtime": {"config"},
    "http": {"config", "core", "model", "ports", "runtime"},
    "subsystem_api": {"config", "core", "http", "ports", "runtime"},
    "admin": {"config", "core", "hot_restart", "http", "ports", "runtime", "subsystem_api"},
    "hot_restart": {"config", "core", "http", "runtime"},
    "membership": {"config", "model", "ports", "runtime", "subsystem_api"},
    "leases": {"config", "model", "ports", "runtime", "subsystem_api"},
    "identity": {"config", "ports", "runtime", "subsystem_api"},
    "gearman": {"config", "core", "http", "model", "ports", "runtime", "subsystem_api"},
    "node": {"config", "core", "http", "model", "ports", "runtime", "subsystem_api"},
    "simulator_adapter": {"config", "model", "policy"},
}
MAY_IMPORT_ALL = {"stepstream", "__main__", "cli", "lab"}
# The lab is below the commands that run it, and above all other packages.
LAB_MAY_NOT_IMPORT = {"stepstream", "__main__", "cli"}


def imports_by_module():
    """Return the program's modules that each module imports, at its head or in a function."""
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
        # `stepstream` itself is left out: it only re-exports, and no module inside uses that.
        graph[name] = found - {name, "stepstream"}
    return graph


def test_imports_have_no_cycle():
    graph = imports_by_module()
    assert len(list(TopologicalSorter(graph).static_order())) >= len(graph) > 60


def package_of(module):
    """The package below the topmost one, or the top-level module."""
    return module.split(".")[1] if "." in module else module


def test_each_package_imports_only_the_packages_that_are_allowed_to_it():
    for module, found in imports_by_module().items():
        package = package_of(module)
        if package in MAY_IMPORT_ALL:
            continue
        others = {package_of(name) for name in found} - {package}
        assert others <= MAY_IMPORT[package], module


def test_no_package_outside_the_composition_root_imports_a_subsystem():
    for module, found in imports_by_module().items():
        package = package_of(module)
        if package in MAY_IMPORT_ALL | SUBSYSTEMS | {"node"}:
            continue
        assert not {package_of(name) for name in found} & SUBSYSTEMS, module


def test_the_lab_imports_no_command():
    for module, found in imports_by_module().items():
        if package_of(module) == "lab":
            assert not {package_of(name) for name in found} & LAB_MAY_NOT_IMPORT, module


def test_no_file_of_the_lab_contains_the_name_of_the_commands_package():
    for path in (ROOT / "stepstream" / "lab").rglob("*.py"):
        assert "stepstream.cli" not in path.read_text(), path
