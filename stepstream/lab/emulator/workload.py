"""The body of a lab client's request, in either protocol: which job it is, and its work."""

from dataclasses import dataclass

import ujson

from stepstream.config.json_decoding import JsonError, decode_json

FIELD_COUNT = 4
FIELD_LIMIT = 10**9  # exclusive


@dataclass(slots=True)
class Workload:
    """The work that a lab client requests."""

    job_number: int  # `PlannedRequest.number`; negative if no lab client sent the job
    client_attempt: int  # 0 for the first attempt
    work_us: int  # on a core of speed 1
    slots: int

    def serialize(self) -> bytes:
        """Return the request's body."""
        values = [self.job_number, self.client_attempt, self.work_us, self.slots]
        return ujson.dumps(values).encode()

    @classmethod
    def parse(cls, body: bytes) -> "Workload | None":
        """Parse a body; return None if it has another form, as other clients' bodies may have."""
        try:
            values = decode_json(body)
        except JsonError:
            return None
        if not isinstance(values, list) or len(values) != FIELD_COUNT:
            return None
        if not all(isinstance(value, int) and 0 <= value < FIELD_LIMIT for value in values):
            return None
        return cls(*values)
