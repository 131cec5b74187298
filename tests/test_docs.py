"""The pages that lead into the code name only files and definitions that exist."""

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
FILE = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.(?:py|md))`")
FOLDER = re.compile(r"`((?:[a-z_]+/)+)`")
MEMBER = re.compile(r"`([A-Z]\w+)\.([a-z_]\w*|[A-Z][A-Z_]+)`")
CLASS = re.compile(r"`([A-Z][a-z]\w+)`")
# Names of the standard library and of other programs that the pages mention.
FOREIGN = {"TimeoutError", "SIGTERM", "SIGHUP", "POST", "DELETE"}


def definitions():
    """Class by class, the names of its methods, fields and attributes."""
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


def text_of(page):
    """The page without its code blocks."""
    return re.sub(r"```.*?```", "", (ROOT / "docs" / page).read_text(), flags=re.S)


@pytest.mark.parametrize("page", PAGES)
def test_files_and_folders_named_by_a_page_exist(page):
    text = text_of(page)
    for name in FILE.findall(text) + FOLDER.findall(text):
        places = (ROOT / name, PACKAGE / name, ROOT / "docs" / name, ROOT / "tests" / name)
        assert any(place.exists() for place in places), name


@pytest.mark.parametrize("page", PAGES)
def test_classes_and_members_named_by_a_page_exist(page):
    defined = definitions()
    text = text_of(page)
    for owner, member in MEMBER.findall(text):
        assert owner in defined, owner
        assert member in defined[owner], f"{owner}.{member}"
    for name in CLASS.findall(text):
        assert name in defined or name in FOREIGN, name


def test_the_index_names_each_page_and_no_other():
    index = (ROOT / "docs" / "README.md").read_text()
    named = set(re.findall(r"^\| `([A-Za-z_]+\.md)` \|", index, re.MULTILINE))
    assert named == {path.name for path in (ROOT / "docs").glob("*.md")} - {"README.md"}
