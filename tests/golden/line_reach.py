"""Which lines of some modules' functions a piece of code runs, by the interpreter's trace hook."""

import sys
from collections.abc import Callable, Iterable
from inspect import CO_NEWLOCALS
from types import CodeType, FrameType, ModuleType


def reached_by(play: Callable[[], None], modules: Iterable[ModuleType]) -> list[str]:
    """Run `play`; the lines of the modules' functions that it missed, as "module:line: text"."""
    sources = {module.__file__: (module.__name__, source_of(module)) for module in modules}
    left = {path: function_lines(path, text) for path, (_, text) in sources.items()}
    trace_lines(play, left)
    missed = []
    for path, lines in left.items():
        name, text = sources[path]
        texts = text.splitlines()
        missed += [f"{name}:{number}: {texts[number - 1].strip()}" for number in sorted(lines)]
    return missed


def source_of(module: ModuleType) -> str:
    with open(module.__file__, encoding="utf-8") as file:
        return file.read()


def function_lines(path: str, text: str) -> set[int]:
    """Numbers of the lines that belong to functions, comprehensions in them included."""
    lines: set[int] = set()
    for code in functions_in(compile(text, path, "exec")):
        lines |= lines_of(code)
    return lines


def lines_of(code: CodeType) -> set[int]:
    return {line for _, _, line in code.co_lines() if line}


def functions_in(code: CodeType) -> list[CodeType]:
    """All functions at any depth; what stands in a module or class itself runs at import."""
    found = []
    in_function = bool(code.co_flags & CO_NEWLOCALS)
    for inner in code.co_consts:
        if isinstance(inner, CodeType):
            comprehension = inner.co_name.startswith("<") and inner.co_name != "<lambda>"
            if inner.co_flags & CO_NEWLOCALS and (in_function or not comprehension):
                found.append(inner)
            found += functions_in(inner)
    return found


def trace_lines(play: Callable[[], None], left: dict[str, set[int]]) -> None:
    """Run `play` and strike the lines it reaches; functions without lines left run untraced."""
    open_codes: dict[CodeType, set[int]] = {}

    def on_call(frame: FrameType, event: str, argument: object) -> Callable | None:
        code = frame.f_code
        if code.co_filename not in left:
            return None
        if code not in open_codes:
            open_codes[code] = lines_of(code)
        struck, wanted = left[code.co_filename], open_codes[code]
        struck.discard(code.co_firstlineno)
        wanted.discard(code.co_firstlineno)
        if not wanted:
            return None

        def on_line(frame: FrameType, event: str, argument: object) -> Callable:
            if event == "line":
                struck.discard(frame.f_lineno)
                wanted.discard(frame.f_lineno)
            return on_line

        return on_line

    before = sys.gettrace()
    sys.settrace(on_call)
    try:
        play()
    finally:
        sys.settrace(before)
