"""The pages about the code name only files, folders, classes and members that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "stepstream"
PAGES = (
    "architecture.md",
    "commands.md",
    "event_ordering.md",
    "gearman.md",
    "glossary.md",
    "identity.md",
    "leases.md",
    "membership.md",
)
FILE_PATTERN = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.(?:py|md))`")
FOLDER_PATTERN = re.compile(r"`((?:[a-z_]+/)+)`")
MEMBER_PATTERN = re.compile(r"`([A-Z]\w+)\.([a-z_]\w*|[A-Z][A-Z_]+)`")
CLASS_PATTERN = re.compile(r"`([A-Z][a-z]\w+)`")
# Names of the standard library and of other programs that the pages mention.
OUTSIDE_NAMES = {"TimeoutError", "SIGTERM", "SIGHUP", "POST", "DELETE"}


def class_members():
    """Return the names of each class's bases, methods, fields and attributes, by class."""
    found = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = found.setdefault(node.name, set())
                names |= {base.id for base in node.bases if isinstance(base, ast.Name)}
                for inner in ast.walk(node):
                    if isinstance(inner, ast.FunctionDef):
                        names.add(inner.name)
                    elif isinstance(inner, ast.Name) and isinstance(inner.ctx, ast.Store):
                        names.add(inner.id)
                    elif isinstance(inner, ast.Attribute) and isinstance(inner.ctx, ast.Store):
                        names.add(inner.attr)
    return found


def page_text(page):
    """Return the text of a page without its code blocks."""
    return re.sub(r"```.*?```", "", (ROOT / "docs" / page).read_text(), flags=re.S)


@pytest.mark.parametrize("page", PAGES)
def test_files_and_folders_named_by_a_page_exist(page):
    text = page_text(page)
    for name in FILE_PATTERN.findall(text) + FOLDER_PATTERN.findall(text):
        places = (ROOT / name, PACKAGE / name, ROOT / "docs" / name, ROOT / "tests" / name)
        assert any(place.exists() for place in places), name


@pytest.mark.parametrize("page", PAGES)
def test_classes_and_members_named_by_a_page_exist(page):
    defined = class_members()
    text = page_text(page)
    for owner, member in MEMBER_PATTERN.findall(text):
        assert owner in defined, owner
        assert member in defined[owner], f"{owner}.{member}"
    for name in CLASS_PATTERN.findall(text):
        assert name in defined or name in OUTSIDE_NAMES, name


def test_the_index_lists_exactly_the_pages_that_exist():
    index = (ROOT / "docs" / "README.md").read_text()
    named = set(re.findall(r"^\| `([A-Za-z_]+\.md)` \|", index, re.MULTILINE))
    assert named == {path.name for path in (ROOT / "docs").glob("*.md")} - {"README.md"}
