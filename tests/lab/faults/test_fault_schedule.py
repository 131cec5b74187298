"""Fault schedules: their file form, their generation from a seed, and their injection."""

import re
from pathlib import Path

import msgspec
import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.lab.faults.injector import FaultInjector, Transition
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule, read_schedule

NAMES = ("n0", "n1", "n2")
MEMBERSHIP_PAGE = Path(__file__).parents[3] / "docs" / "membership.md"


class RecordingTarget:
    """A cluster that records the calls of the injector and the faults of its links."""

    def __init__(self):
        self.calls = []
        self.running = set(NAMES)
        self.cut_pairs = set()
        self.loss_probability = 0.0

    names = NAMES

    def is_running(self, name):
        return name in self.running

    def start(self, name):
        self.calls.append(("start", name))
        self.running.add(name)

    def kill(self, name):
        self.calls.append(("kill", name))
        self.running.discard(name)

    def leave(self, name):
        self.calls.append(("leave", name))
        self.running.discard(name)

    def stall(self, name):
        self.calls.append(("stall", name))

    def resume(self, name):
        self.calls.append(("resume", name))

    def set_link_faults(self, cut_pairs, loss_probability):
        self.cut_pairs = cut_pairs
        self.loss_probability = loss_probability


def two_second_fault(kind, **fields):
    return Fault(kind=kind, begin_seconds=0.0, duration_seconds=2.0, **fields)


def write_schedule(folder, text):
    path = folder / "faults.toml"
    path.write_text(text)
    return str(path)


# -- file form ------------------------------------------------------------------------------------


def test_a_schedule_file_is_read_with_the_operators_keys(tmp_path):
    path = write_schedule(
        tmp_path, '[[fault]]\nkind = "cut"\nat = 1.5\nlength = 2.0\nwho = ["n1"]\nsize = 0.5\n'
    )
    (fault,) = read_schedule(path, NAMES).faults
    assert fault == Fault(
        kind=FaultKind.CUT,
        begin_seconds=1.5,
        duration_seconds=2.0,
        members=("n1",),
        loss_fraction=0.5,
    )


def test_a_fault_is_encoded_with_the_operators_keys():
    fault = Fault(kind=FaultKind.RESTART, begin_seconds=1.0, members=("n1",))
    expected = {"kind": "restart", "at": 1.0, "length": 0.0, "who": ("n1",), "size": 0.0}
    assert msgspec.to_builtins(fault) == expected


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        pytest.param("[[fault]\n", "faults.toml", id="invalid TOML"),
        pytest.param('[[fault]]\nkind = "cut"\n', "at", id="a missing key"),
        pytest.param('[[fault]]\nkind = "quake"\nat = 1\n', "quake", id="an unknown kind"),
        pytest.param('[[fault]]\nkind = "cut"\nat = 1\nlengt = 1\n', "lengt", id="an unknown key"),
        pytest.param('[[fault]]\nkind = "cut"\nat = -1\n', "at", id="a time before the start"),
        pytest.param(
            '[[fault]]\nkind = "cut"\nat = 1\nwho = ["n9"]\n',
            r"fault\[0\].who",
            id="an unknown member",
        ),
    ],
)
def test_an_invalid_schedule_file_is_rejected_with_the_reason(text, reason, tmp_path):
    with pytest.raises(ConfigurationError, match=reason):
        read_schedule(write_schedule(tmp_path, text), NAMES)


# -- generation -----------------------------------------------------------------------------------


def test_the_same_seed_generates_the_same_schedule():
    assert generate_schedule(4, NAMES, 30.0) == generate_schedule(4, NAMES, 30.0)


@pytest.mark.parametrize("seed", range(10))
def test_a_generated_fault_affects_at_most_half_of_the_members(seed):
    names = tuple(f"n{number}" for number in range(10))
    assert all(len(fault.members) <= 5 for fault in generate_schedule(seed, names, 60.0).faults)


@pytest.mark.parametrize("seed", range(10))
def test_a_generated_fault_begins_before_the_end_of_the_schedule(seed):
    faults = generate_schedule(seed, NAMES, 60.0).faults
    assert faults
    assert all(fault.begin_seconds < 60.0 for fault in faults)


# -- injection ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("kind", "at_begin", "at_end"),
    [
        (FaultKind.CRASH, [("kill", "n1")], [("start", "n1")]),
        (FaultKind.LEAVE, [("leave", "n1")], [("start", "n1")]),
        (FaultKind.STALL, [("stall", "n1")], [("resume", "n1")]),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_process_fault_changes_its_member_at_its_begin_and_at_its_end(kind, at_begin, at_end):
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    fault = two_second_fault(kind, members=("n1",))
    injector.apply(Transition.BEGIN, fault)
    assert target.calls == at_begin
    injector.apply(Transition.END, fault)
    assert target.calls == at_begin + at_end


def test_a_restart_is_one_step_that_kills_and_starts_the_member():
    target = RecordingTarget()
    fault = Fault(kind=FaultKind.RESTART, begin_seconds=1.0, members=("n1",))
    injector = FaultInjector(target, Schedule((fault,)))
    assert [step.transition for step in injector.steps] == [Transition.BEGIN]
    injector.apply(Transition.BEGIN, fault)
    assert target.calls == [("kill", "n1"), ("start", "n1")]


def test_a_process_fault_skips_members_that_are_not_running():
    target = RecordingTarget()
    target.running.discard("n1")
    fault = two_second_fault(FaultKind.CRASH, members=("n1", "n2"))
    FaultInjector(target, Schedule()).apply(Transition.BEGIN, fault)
    assert target.calls == [("kill", "n2")]


@pytest.mark.parametrize(
    ("kind", "cut_pairs"),
    [
        (FaultKind.CUT, {("n0", "n1"), ("n1", "n0"), ("n0", "n2"), ("n2", "n0")}),
        (FaultKind.FLAP, {("n0", "n1"), ("n1", "n0"), ("n0", "n2"), ("n2", "n0")}),
        (FaultKind.ONE_WAY, {("n0", "n1"), ("n0", "n2")}),
        (FaultKind.LOSS, set()),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_link_fault_cuts_the_directions_of_its_kind(kind, cut_pairs):
    target = RecordingTarget()
    fault = two_second_fault(kind, members=("n0",))
    FaultInjector(target, Schedule()).apply(Transition.BEGIN, fault)
    assert target.cut_pairs == cut_pairs


def test_the_larger_of_two_losses_applies_until_it_ends():
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    small = two_second_fault(FaultKind.LOSS, loss_fraction=0.1)
    large = two_second_fault(FaultKind.LOSS, loss_fraction=0.3)
    injector.apply(Transition.BEGIN, small)
    injector.apply(Transition.BEGIN, large)
    assert target.loss_probability == 0.3
    injector.apply(Transition.END, large)
    assert target.loss_probability == 0.1


def test_when_one_of_two_equal_cuts_ends_the_links_stay_cut():
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    first = two_second_fault(FaultKind.CUT, members=("n0",))
    second = two_second_fault(FaultKind.CUT, members=("n0",))
    injector.apply(Transition.BEGIN, first)
    injector.apply(Transition.BEGIN, second)
    injector.apply(Transition.END, first)
    assert ("n0", "n1") in target.cut_pairs


def test_a_flap_alternates_between_cut_and_healed_and_ends_healed():
    fault = Fault(kind=FaultKind.FLAP, begin_seconds=1.0, duration_seconds=1.3, members=("n0",))
    steps = FaultInjector(RecordingTarget(), Schedule((fault,))).steps
    begin, end = Transition.BEGIN, Transition.END
    assert [step.transition for step in steps] == [begin, end, begin, end]
    assert [step.at_seconds for step in steps] == pytest.approx([1.0, 1.4, 1.8, 2.3])


def test_end_all_heals_links_starts_stopped_members_and_resumes_every_member():
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    injector.apply(Transition.BEGIN, two_second_fault(FaultKind.CUT, members=("n0",)))
    injector.apply(Transition.BEGIN, two_second_fault(FaultKind.CRASH, members=("n1",)))
    injector.end_all()
    assert target.cut_pairs == set()
    assert target.running == set(NAMES)
    assert [name for call, name in target.calls if call == "resume"] == list(NAMES)


@pytest.mark.parametrize("kind", FaultKind)
def test_every_kind_of_fault_takes_effect_and_can_be_ended(kind):
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    fault = two_second_fault(kind, members=("n0",), loss_fraction=0.1)
    injector.apply(Transition.BEGIN, fault)
    assert target.calls or target.cut_pairs or target.loss_probability
    injector.apply(Transition.END, fault)
    injector.end_all()
    assert target.running == set(NAMES)


def test_the_membership_page_lists_every_kind_of_fault():
    listed = re.findall(
        "^\\| `([a-z_]+)` \\| (?:kill|stop|suspend|drop|cut) ", MEMBERSHIP_PAGE.read_text(), re.M
    )
    assert sorted(listed) == sorted(kind.value for kind in FaultKind)


@pytest.mark.parametrize(
    ("kind", "begin_call", "end_call"),
    [(FaultKind.CRASH, "kill", "start"), (FaultKind.STALL, "stall", "resume")],
)
def test_a_member_with_two_overlapping_faults_comes_back_when_the_last_one_ends(
    kind, begin_call, end_call
):
    # Guards against an injector that brings the member back when the first fault ends: the run
    # would pass although the cluster was never tested with the whole second fault.
    target = RecordingTarget()
    injector = FaultInjector(target, Schedule())
    first = two_second_fault(kind, members=("n1",))
    second = Fault(kind=kind, begin_seconds=1.0, duration_seconds=4.0, members=("n1",))
    for transition, fault in (
        (Transition.BEGIN, first),
        (Transition.BEGIN, second),
        (Transition.END, first),
    ):
        injector.apply(transition, fault)
    assert (end_call, "n1") not in target.calls
    injector.apply(Transition.END, second)
    assert target.calls[0] == (begin_call, "n1")
    assert target.calls[-1] == (end_call, "n1")
    assert target.calls.count((end_call, "n1")) == 1
