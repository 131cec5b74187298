"""JSON texts that are nested deeply, and what the dispatcher does with a decoded one.

The texts are put together by hand: the encoders need more stack for each level.
"""

from stepstream.config.json_decoding import decode_json
from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.job_results import result_bytes
from stepstream.core.maintenance import MaintenanceState
from stepstream.hot_restart.state import HandoverState, encode
from stepstream.http.worker_api import notification_body
from stepstream.subsystem_api.admin_json import json_response

# ujson reads as many levels; a thread's stack was too small to write them again.
TOO_MANY_LEVELS = 1_000


def nested_lists(levels=TOO_MANY_LEVELS):
    """Return a number within this many lists."""
    return "[" * levels + "1" + "]" * levels


def nested_objects(levels=TOO_MANY_LEVELS):
    """Return a number within this many objects."""
    return '{"a":' * levels + "1" + "}" * levels


def use_decoded(text):
    """Decode a text; answer with its value, forward it, hand it over and print it."""
    value = decode_json(text)
    assert decode_json(result_bytes(value)) == value
    notification_body(JobNotification("aa", "s-1", JobStatus.DONE, value))
    encode(HandoverState(MaintenanceState(), (), {"servers": value}))
    json_response(200, value)
    repr(value)
