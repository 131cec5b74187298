"""Samples of the state that other processes read, and the recorder of their golden files.

    python tests/golden/state_samples.py record

A form with a codec has samples that are written and read again, and malformed data that must be
rejected with the recorded reason. A transcript is a plain JSON value that a fixed sequence of calls
produces. The functions that build them are in `tests/golden/state/`, in one module for each form or
subsystem, with their inputs as JSON files. The lab's transcripts are in `state/lab_transcripts.py`.
"""

import json
import sys
from collections.abc import Callable
from pathlib import Path

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).resolve().parents[number]) for number in (1, 2)]

from golden.recorded_data import read_results
from golden.state import lab_transcripts
from golden.state.admin_transcripts import admin_answers
from golden.state.forms import FOLDER, Form
from golden.state.handover_form import HANDOVER
from golden.state.health_report_form import HEALTH_REPORTS
from golden.state.hot_restart_transcripts import (
    forwarded_notifications,
    handover_files,
    listed_workers,
)
from golden.state.lease_admin_transcripts import (
    health_reports_sent,
    lease_answers,
    lease_messages_sent,
)
from golden.state.lease_form import LEASES
from golden.state.membership_admin_transcripts import local_statuses, membership_answers
from golden.state.membership_form import MEMBERSHIP
from golden.state.protocol_transcripts import (
    digests,
    fencing,
    health_report_pages,
    lease_conversation,
    membership_conversation,
)

FORMS = (MEMBERSHIP, LEASES, HEALTH_REPORTS, HANDOVER)
# The functions that build the transcripts, by the names of the recorded files.
TRANSCRIPTS: dict[str, Callable[[], object]] = {
    "admin": admin_answers,
    "admin-fleet": membership_answers,
    "admin-leases": lease_answers,
    "own-facts": local_statuses,
    "lease-posts": lease_messages_sent,
    "sweep-posts": health_reports_sent,
    "listed-workers": listed_workers,
    "handover-files": handover_files,
    "relayed-news": forwarded_notifications,
    **lab_transcripts.TRANSCRIPTS,
    "marks": digests,
    "fencing": fencing,
    "sweep-pages": health_report_pages,
    "fleet-conversation": membership_conversation,
    "lease-conversation": lease_conversation,
}


def rejection_reason(form: Form, data: bytes) -> str | None:
    """Return the message with which the program rejects this data; None if it accepts the data."""
    try:
        form.read(data)
    except form.error as error:
        return str(error)
    return None


def read_recorded(name: str) -> object:
    """Return the content of the golden file of this name."""
    return read_results(FOLDER, name)


def form_results(form: Form) -> dict[str, object]:
    """Return a form's results to record; raise ValueError if malformed data is not rejected."""
    samples = {name: form.write(sample).hex() for name, sample in form.samples().items()}
    rejected = {}
    for name, data in form.malformed().items():
        reason = rejection_reason(form, data)
        if reason is None:
            raise ValueError(f"{form.name}: {name} is not rejected")
        rejected[name] = {"data": data.hex(), "reason": reason}
    tolerated = {
        name: {"data": data.hex(), "written": form.write(form.read(data)).hex()}
        for name, data in form.tolerated().items()
    }
    return {"samples": samples, "refused": rejected, "tolerated": tolerated}


def record() -> None:
    """Write every golden file with the results of the present program."""
    results = {form.name: form_results(form) for form in FORMS}
    results |= {name: build() for name, build in TRANSCRIPTS.items()}
    for name, value in results.items():
        text = json.dumps(value, indent=1, ensure_ascii=False) + "\n"
        (FOLDER / f"{name}.json").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    if sys.argv[1:] != ["record"]:
        sys.exit(__doc__)
    record()
