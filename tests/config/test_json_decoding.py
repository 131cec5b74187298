"""The decoding of JSON: its bound on nesting, and that what passes fits the stack of a thread."""

import json
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.config import json_decoding
from stepstream.config.json_decoding import (
    MAX_NESTING_LEVELS,
    JsonError,
    JsonNestingError,
    JsonSyntaxError,
    check_nesting,
    decode_json,
)
from tests.config.nested_json import nested_lists, nested_objects, use_decoded
from tests.node.dispatcher_process import ROOT
from tests.runtime.thread_stack import call_on_thread_stack

SMALL_BOUND = 3
SHAPES = {
    "lists": nested_lists,
    "objects": nested_objects,
    "lists in a member": lambda levels: '{"result":' + nested_lists(levels - 1) + "}",
    "after brackets in a string": lambda levels: (
        '["' + "]" * 2_000 + '",' + nested_lists(levels - 1) + "]"
    ),
    "after an escaped quote": lambda levels: r'["\"]]", ' + nested_lists(levels - 1) + "]",
    "after an escaped backslash": lambda levels: r'["\\", ' + nested_lists(levels - 1) + "]",
    "after many shallow members": lambda levels: "[" + "[]," * 500 + nested_lists(levels - 1) + "]",
}


@pytest.mark.parametrize("encode", [str, str.encode], ids=["text", "bytes"])
@pytest.mark.parametrize("shape", SHAPES)
def test_a_text_is_decoded_up_to_the_bound_and_rejected_beyond_it(shape, encode):
    # Guards against a peer's message whose value ends the process when a thread writes it again.
    at_bound = SHAPES[shape](MAX_NESTING_LEVELS)
    assert decode_json(encode(at_bound)) == json.loads(at_bound)
    with pytest.raises(JsonNestingError, match="more than 128 levels"):
        decode_json(encode(SHAPES[shape](MAX_NESTING_LEVELS + 1)))


@pytest.mark.parametrize("text", ['"' + "[" * 500 + '"', "[" + "{}," * 500 + "{}]"])
def test_brackets_in_strings_and_side_by_side_are_no_levels(text):
    assert decode_json(text) == json.loads(text)


@pytest.mark.parametrize(
    "text", ["", "{", '{"a":}', "[1] 2", "]" * 500 + "[" * 500, '"\\', b"\xff"]
)
def test_a_malformed_text_is_a_syntax_error(text):
    with pytest.raises(JsonSyntaxError):
        decode_json(text)


def levels_of(value):
    """Return how deep a decoded value is nested, by the plain definition."""
    if isinstance(value, dict):
        return 1 + max(map(levels_of, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(levels_of, value), default=0)
    return 0


TEXTS = st.text(alphabet='[]{}",:\\a\né', max_size=6)
VALUES = st.recursive(
    st.none() | st.integers() | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(VALUES)
def test_the_levels_of_any_value_are_counted_as_by_definition(value):
    text = json.dumps(value)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_decoding, "MAX_NESTING_LEVELS", SMALL_BOUND)
        if levels_of(value) <= SMALL_BOUND:
            check_nesting(text)
        else:
            with pytest.raises(JsonNestingError):
                check_nesting(text)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.text(alphabet='[]{}",:\\1', max_size=30))
def test_no_malformed_text_passes_with_more_levels_than_the_bound(text):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_decoding, "MAX_NESTING_LEVELS", SMALL_BOUND)
        try:
            value = decode_json(text)
        except JsonError:
            return
    assert levels_of(value) <= SMALL_BOUND


@pytest.mark.parametrize("shape", ["lists", "objects"])
def test_a_value_at_the_bound_can_be_used_on_a_threads_stack(shape):
    call_on_thread_stack(use_decoded, SHAPES[shape](MAX_NESTING_LEVELS))


def test_only_the_checked_functions_decode_json():
    # Guards against a further reader of JSON that does not know the bound.
    decoders = {
        str(path.relative_to(ROOT / "stepstream"))
        for path in (ROOT / "stepstream").rglob("*.py")
        if re.search(r"\b(u?json\.(loads?|decode)|import loads?|JSONDecoder)\b", path.read_text())
    }
    assert decoders == {
        "config/json_decoding.py",
        "identity/tokens.py",  # needs the repeated names of an object; calls `check_nesting`
        "lab/processes/lease_task.py",  # its parent's configuration, into typed fields
    }
