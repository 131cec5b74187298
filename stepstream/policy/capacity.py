"""Capacity of single workers: their caps and their headroom, in slots.

A cap is the number of slots that a worker may be loaded with. Headroom is the free part of the cap.
Caps are learned, as no dispatcher knows them beforehand. `Worker.cap` is a worker's own cap: it is
set by the worker's last answer 'full'. The common cap is the median of all known caps; it is used
for a worker whose own cap is unknown. With many dispatchers a pool has caps instead, see
`policy.pool_capacity`.
"""

from math import inf

from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

HEADROOM_VALID_US = 2_000_000
# The fraction of its busy slots at an answer 'full' that a worker may be loaded with and still meet
# the latency objectives. The figures are those of Andreolini et al., "A cluster-based Web system
# providing differentiated and guaranteed services".
SAFETY_FACTOR = 18 / 26
MIN_CAP_SLOTS = 1.0
# With less headroom on a worker the waiting jobs are not tried again.
MIN_USEFUL_HEADROOM_SLOTS = 1.0


def headroom(state: PolicyState, worker: Worker) -> float:
    """Return the slots that a worker has free.

    A measurement counts for HEADROOM_VALID_US. After that the headroom is the worker's cap less its
    busy slots; the common cap is used if the worker's own cap is unknown. Where workers report
    their load, the common cap is used for all of them: an own cap from an old 'full' could be
    larger than the others' caps and attract the attempts.
    """
    if state.now_us - worker.headroom_at_us <= HEADROOM_VALID_US:
        return worker.headroom
    own_cap = None if state.has_load_reports else worker.cap
    cap = state.measurements.common_cap if own_cap is None else own_cap
    return inf if cap is None else cap - worker.busy_slots


def headrooms(state: PolicyState, workers: list[Worker]) -> list[float]:
    """Return the headroom of each worker in slots, in their order."""
    return [headroom(state, worker) for worker in workers]


def has_valid_headroom(worker: Worker, now_us: int) -> bool:
    """Return whether a worker's headroom was measured recently enough to decide by."""
    return now_us - worker.headroom_at_us <= HEADROOM_VALID_US


def valid_headroom_count(state: PolicyState) -> int:
    """Return the number of eligible workers whose headroom is valid."""
    now_us = state.now_us
    return sum([has_valid_headroom(worker, now_us) for worker in state.workers.eligible])


def median_cap(state: PolicyState) -> float | None:
    """Return the median of the known caps in slots, or None while no cap is known.

    Caps are known from three kinds of evidence: a valid measurement of headroom together with the
    busy slots, an answer 'full', and the starts of recent attempts. Starts count only without load
    reports.
    """
    valid_since_us = state.now_us - HEADROOM_VALID_US
    if state.has_load_reports:
        caps = _caps_by_load_reports(state.workers.eligible, valid_since_us)
    else:
        caps = _caps_by_full_answers(state.workers.eligible, valid_since_us)
        caps += state.measurements.observed_caps
    known = sorted([cap for cap in caps if cap is not None])
    return known[len(known) // 2] if known else None


def _caps_by_load_reports(workers: list[Worker], valid_since_us: int) -> list[float | None]:
    """Return each worker's slots by its valid headroom, or else its cap from an answer 'full'."""
    return [
        worker.headroom + worker.busy_slots
        if worker.headroom_at_us >= valid_since_us
        else worker.cap
        for worker in workers
    ]


def _caps_by_full_answers(workers: list[Worker], valid_since_us: int) -> list[float | None]:
    """Return the cap of each worker that has answered 'full', None for the others.

    With a valid headroom, the worker's slots by this headroom are returned in place of its cap.
    """
    return [
        worker.headroom + worker.busy_slots
        if worker.headroom_at_us >= valid_since_us and worker.cap
        else worker.cap
        for worker in workers
    ]


def measure_common_cap(state: PolicyState) -> None:
    """Measure the common cap anew."""
    state.measurements.common_cap = median_cap(state)


def measure_missing_common_cap(state: PolicyState) -> None:
    """Measure the common cap as soon as a first cap is known, without waiting for the period."""
    measurements = state.measurements
    if measurements.common_cap is None:
        measurements.common_cap = median_cap(state)


def change_busy_slots(state: PolicyState, worker: Worker, slots: float) -> None:
    """Add to a worker's busy slots; if this frees enough headroom, try the waiting jobs again."""
    worker.change_busy_slots(state.now_us, slots)
    worker.pool.busy_slots += slots
    if slots < 0 and headroom(state, worker) >= MIN_USEFUL_HEADROOM_SLOTS:
        state.workers.waiting_jobs_due = True


def learn_from_load_report(state: PolicyState, worker: Worker, reported_headroom: float) -> None:
    """Take a worker's headroom in slots from its report: its free slots less its queued jobs.

    A report is old when it arrives. So the slots that our attempts took or freed within the
    report's lag are accounted for.
    """
    report_lag = state.measurements.report_lag
    report_lag.record_report(worker, state.now_us, reported_headroom)
    worker.headroom = reported_headroom - report_lag.unreported_slots(worker, state.now_us)
    worker.headroom_at_us = state.now_us
    if worker.headroom >= MIN_USEFUL_HEADROOM_SLOTS:
        state.workers.waiting_jobs_due = True


def learn_from_full(state: PolicyState, worker: Worker, busy_slots: float) -> None:
    """Set a worker's cap by an answer 'full', which it gave at this many busy slots of ours."""
    worker.cap = max(busy_slots * SAFETY_FACTOR, MIN_CAP_SLOTS)
    _set_no_headroom(state, worker)


def learn_from_overdue_start(state: PolicyState, worker: Worker) -> None:
    """Learn that a worker is full at its present busy slots, as an attempt's start is overdue."""
    state.measurements.observed_caps.append(worker.busy_slots)
    _set_no_headroom(state, worker)


def learn_from_start(state: PolicyState, worker: Worker) -> None:
    """Learn from a start on a worker that is at the common cap: its own cap is a slot larger."""
    common_cap = state.measurements.common_cap
    at_cap = common_cap is not None and worker.busy_slots >= common_cap
    if at_cap and not has_valid_headroom(worker, state.now_us):
        state.measurements.observed_caps.append(worker.busy_slots + 1)


def _set_no_headroom(state: PolicyState, worker: Worker) -> None:
    """Record that a worker has no headroom now, whatever an older report says.

    Otherwise a worker that rejects jobs at once would look idle and get the next jobs too.
    """
    worker.headroom = min(headroom(state, worker), 0.0)
    worker.headroom_at_us = state.now_us
