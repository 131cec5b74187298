"""Find the lines of modules' functions that a call does not run, by the interpreter's trace hook."""

import sys
from collections.abc import Callable, Iterable
from inspect import CO_NEWLOCALS
from types import CodeType, FrameType, ModuleType


def missed_lines(play: Callable[[], None], modules: Iterable[ModuleType]) -> list[str]:
    """Run `play`; return the function lines that it did not run, as "module:line: text"."""
    sources = {module.__file__: (module.__name__, source_of(module)) for module in modules}
    unreached = {path: function_lines(path, text) for path, (_, text) in sources.items()}
    trace_lines(play, unreached)
    missed = []
    for path, lines in unreached.items():
        name, text = sources[path]
        source_lines = text.splitlines()
        missed += [
            f"{name}:{number}: {source_lines[number - 1].strip()}" for number in sorted(lines)
        ]
    return missed


def source_of(module: ModuleType) -> str:
    with open(module.__file__, encoding="utf-8") as file:
        return file.read()


def function_lines(path: str, text: str) -> set[int]:
    """Return the numbers of the lines of functions, with the comprehensions in them."""
    lines: set[int] = set()
    for code in functions_in(compile(text, path, "exec")):
        lines |= lines_of(code)
    return lines


def lines_of(code: CodeType) -> set[int]:
    return {line for _, _, line in code.co_lines() if line}


def functions_in(code: CodeType) -> list[CodeType]:
    """Return the code of functions at any depth; code of a module or class body runs at import."""
    found = []
    in_function = bool(code.co_flags & CO_NEWLOCALS)
    for inner in code.co_consts:
        if isinstance(inner, CodeType):
            comprehension = inner.co_name.startswith("<") and inner.co_name != "<lambda>"
            if inner.co_flags & CO_NEWLOCALS and (in_function or not comprehension):
                found.append(inner)
            found += functions_in(inner)
    return found


def trace_lines(play: Callable[[], None], unreached: dict[str, set[int]]) -> None:
    """Run `play` and remove the lines that it runs from `unreached`.

    A function of which every line has been run is not traced any more.
    """
    unreached_by_code: dict[CodeType, set[int]] = {}

    def on_call(frame: FrameType, event: str, argument: object) -> Callable | None:
        code = frame.f_code
        if code.co_filename not in unreached:
            return None
        if code not in unreached_by_code:
            unreached_by_code[code] = lines_of(code)
        module_lines, code_lines = unreached[code.co_filename], unreached_by_code[code]
        module_lines.discard(code.co_firstlineno)
        code_lines.discard(code.co_firstlineno)
        if not code_lines:
            return None

        def on_line(frame: FrameType, event: str, argument: object) -> Callable:
            if event == "line":
                module_lines.discard(frame.f_lineno)
                code_lines.discard(frame.f_lineno)
            return on_line

        return on_line

    before = sys.gettrace()
    sys.settrace(on_call)
    try:
        play()
    finally:
        sys.settrace(before)
