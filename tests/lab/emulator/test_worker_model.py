"""The worker model: speed, queue, slow start, overload, crash and restart."""

import pytest

from stepstream.lab.emulator.worker_model import Health, SubmissionResult, Task, TaskState


@pytest.fixture
def run_model(start_us):
    """A function that runs a model for a time and returns its events as (state, task id, time)."""

    def run_for(model, duration_us):
        until_us = start_us + duration_us
        events = []
        while (due_us := model.next_event_us()) <= until_us:
            model.advance(int(due_us))
            events += [
                (event.state, event.task.id, model.advanced_to_us - start_us)
                for event in model.take_events()
            ]
        model.advance(until_us)
        last_events = [(event.state, event.task.id, duration_us) for event in model.take_events()]
        return events + last_events

    return run_for


@pytest.fixture
def two_core_events(make_worker_model, start_us, run_model):
    """The events of four tasks, one of them with two slots, on two cores at speed 2.0."""
    model = make_worker_model(speed=2.0)
    tasks = [
        Task("a", 400_000, slots=1),
        Task("b", 200_000, slots=1),
        Task("c", 200_000, slots=2),
        Task("d", 100_000, slots=1),
    ]
    for task in tasks:
        assert model.submit(start_us, task) is SubmissionResult.ACCEPTED
    return run_model(model, 1_000_000)


def test_tasks_run_at_the_workers_speed(two_core_events):
    end_times_us = {
        task: time_us for state, task, time_us in two_core_events if state is TaskState.DONE
    }
    assert end_times_us == {"b": 100_000, "a": 200_000, "c": 300_000, "d": 350_000}


def test_waiting_tasks_start_in_the_order_of_their_submission(two_core_events):
    assert [(state, task) for state, task, _ in two_core_events] == [
        (TaskState.STARTED, "a"),
        (TaskState.STARTED, "b"),
        (TaskState.DONE, "b"),
        (TaskState.DONE, "a"),  # c needs both slots, and d must not start before c
        (TaskState.STARTED, "c"),
        (TaskState.DONE, "c"),
        (TaskState.STARTED, "d"),
        (TaskState.DONE, "d"),
    ]


def test_a_task_beyond_the_queue_capacity_is_rejected_as_full(make_worker_model, start_us):
    model = make_worker_model()
    results = [model.submit(start_us, Task(str(number), 500_000)) for number in range(5)]
    assert results == [SubmissionResult.ACCEPTED] * 4 + [SubmissionResult.FULL]


def test_cancelling_a_waiting_task_makes_room_in_the_queue(make_worker_model, start_us):
    model = make_worker_model()
    for number in range(4):
        model.submit(start_us, Task(str(number), 500_000))
    assert model.cancel(start_us, "3")
    assert model.submit(start_us, Task("5", 500_000)) is SubmissionResult.ACCEPTED


def test_cancelling_a_task_a_second_time_finds_no_task(make_worker_model, start_us):
    model = make_worker_model()
    for number in range(4):
        model.submit(start_us, Task(str(number), 500_000))
    assert model.cancel(start_us, "3")
    assert not model.cancel(start_us, "3")


def test_a_worker_in_slow_start_works_more_slowly(make_worker_model, start_us, run_model):
    model = make_worker_model()
    model.start(start_us)
    model.submit(start_us, Task("a", 600_000))
    events = run_model(model, 2_000_000)
    (end_us,) = [time_us for state, _, time_us in events if state is TaskState.DONE]
    # Capacity rises from 0.5 to 1 within a second. The task ends when the integral of the capacity
    # reaches its 0.6 s of work.
    assert 800_000 < end_us < 860_000


def test_a_running_task_reports_progress(make_worker_model, start_us, run_model):
    model = make_worker_model(progress_interval_us=100_000)
    model.start(start_us)
    model.submit(start_us, Task("a", 600_000))
    events = run_model(model, 2_000_000)
    assert sum(state is TaskState.RUNNING for state, _, _ in events) >= 6


def test_a_worker_that_is_overloaded_while_warming_up_rejects_tasks_as_down(
    make_worker_model, start_us
):
    model = make_worker_model(queue_capacity=100, overload_multiple=2.0)
    model.start(start_us)
    results = [model.submit(start_us, Task(str(number), 500_000)) for number in range(12)]
    assert SubmissionResult.ACCEPTED in results
    assert results[-1] is SubmissionResult.DOWN


def test_a_worker_at_full_capacity_accepts_a_load_that_overloads_one_warming_up(
    make_worker_model, start_us
):
    model = make_worker_model(queue_capacity=100, overload_multiple=2.0)
    results = {model.submit(start_us, Task(str(number), 500_000)) for number in range(12)}
    assert results == {SubmissionResult.ACCEPTED}


def test_a_terminated_worker_loses_its_tasks(make_worker_model, start_us):
    model = make_worker_model()
    model.submit(start_us, Task("a", 500_000))
    assert [task.id for task in model.terminate(start_us + 10)] == ["a"]
    assert model.next_event_us() == float("inf")


def test_a_terminated_worker_rejects_a_task_as_down(make_worker_model, start_us):
    model = make_worker_model()
    model.terminate(start_us + 10)
    assert model.submit(start_us + 20, Task("b", 1)) is SubmissionResult.DOWN


def test_a_restarted_worker_is_warming_up(make_worker_model, start_us):
    model = make_worker_model()
    model.terminate(start_us + 10)
    model.start(start_us + 30)
    assert model.health is Health.UP
    assert model.is_warming_up(start_us + 40)
