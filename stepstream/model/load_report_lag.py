"""Estimator of the lag of load reports: how old a report is when it arrives.

State: an error for each candidate lag. Only the decision thread touches it.
"""

from stepstream.model.worker_records import (
    MAX_REPORT_INTERVAL_US,
    MAX_REPORT_LAG_US,
    Worker,
)

CANDIDATE_LAGS_US = (20_000, 60_000, 150_000, MAX_REPORT_LAG_US)
NEWEST_ERROR_WEIGHT = 0.02


class LoadReportLag:
    """Finds the candidate lag at which reports agree best with this dispatcher's attempts.

    Between two reports of a worker, its reported free slots change by this dispatcher's attempts
    that were sent or ended one lag before the reports. Attempts of other dispatchers on the worker
    add the same error to all candidates.
    """

    def __init__(self) -> None:
        self.errors = [0.0] * len(CANDIDATE_LAGS_US)  # running means of squared errors, in slots

    @property
    def lag_us(self) -> int:
        """Return the candidate with the smallest error so far."""
        return CANDIDATE_LAGS_US[self.errors.index(min(self.errors))]

    def unreported_slots(self, worker: Worker, now_us: int) -> float:
        """Return the change of our busy slots that a report arriving now does not include."""
        since_us = now_us - self.lag_us
        unreported = 0.0
        for at_us, slots in reversed(worker.busy_history):
            if at_us < since_us:
                break
            unreported += slots
        return unreported

    def record_report(self, worker: Worker, now_us: int, headroom: float) -> None:
        """Compare a report's headroom, in slots, with the worker's previous report."""
        previous_us = worker.last_report_us
        previous_headroom = worker.last_report_headroom
        worker.last_report_us = now_us
        worker.last_report_headroom = headroom
        if now_us - previous_us > MAX_REPORT_INTERVAL_US:
            return
        own_changes = [0.0] * len(CANDIDATE_LAGS_US)
        # Newest first: reports come often, so the loop ends after a few changes.
        for at_us, slots in reversed(worker.busy_history):
            if at_us + MAX_REPORT_LAG_US < previous_us:
                break
            for index, lag_us in enumerate(CANDIDATE_LAGS_US):
                if previous_us <= at_us + lag_us < now_us:
                    own_changes[index] += slots
        for index, slots in enumerate(own_changes):
            squared_error = (headroom - previous_headroom + slots) ** 2
            self.errors[index] += NEWEST_ERROR_WEIGHT * (squared_error - self.errors[index])
