"""Samples of the envelopes that lease participants send, and malformed ones."""

from golden.state.forms import MAX_NUMBER, UNIX_MS, Form, broken_frames, edited_samples

from stepstream.leases import messages

NAME = "leases"
LEASE = "night-report"
LONGEST_MS = 86_400_000  # a day
CONFIGURATION_DIGEST = 0xABCDEF012345


def ballot() -> messages.Ballot:
    """Return the first ballot of a proposer."""
    return messages.Ballot(UNIX_MS + 1, "n0@18bcfe56800005.1")


def bodies() -> dict[str, object]:
    """Return a body of every kind, and some whose fields have the smallest or largest values."""
    one = ballot()
    greatest = messages.Ballot(MAX_NUMBER, "p" * 128)
    return {
        "prepare": messages.Prepare(LEASE, one, 10_000, 250),
        "prepare-longest": messages.Prepare("a" * 64, one, LONGEST_MS, LONGEST_MS),
        "promised": messages.Promise(LEASE, one),
        "busy": messages.Busy(LEASE, one, "n1@18bcfe56800009.4", UNIX_MS, 4_321),
        "busy-by-turn": messages.Busy(LEASE, one, "", 0, 300),
        "stale": messages.StaleBallot(LEASE, one, UNIX_MS + 9),
        "silent": messages.Recovering(LEASE, one, 59_999),
        "propose": messages.Propose(LEASE, one, 2, UNIX_MS + 1, 10_000),
        "accepted": messages.Accepted(LEASE, one, 2),
        "release": messages.Release(LEASE, one),
        "free": messages.LeaseAvailable(LEASE, one),
        "foreign": messages.ConfigurationMismatch(LEASE, one),
        "ballot-zero": messages.Promise("0", messages.Ballot(0, "p")),
        "ballot-greatest": messages.Promise(LEASE, greatest),
    }


def envelope(
    contents: tuple[object, ...], digests: tuple[int, ...] = (CONFIGURATION_DIGEST,)
) -> messages.Envelope:
    """Return an envelope with these bodies and digests of configurations."""
    return messages.Envelope(1, digests, contents)


def samples() -> dict[str, object]:
    """Return envelopes with each body alone, with no body, and with all bodies."""
    made = {f"body-{name}": envelope((body,)) for name, body in bodies().items()}
    made["no-bodies"] = envelope(())
    made["two-sets-all-bodies"] = envelope(tuple(bodies().values()), (1, MAX_NUMBER))
    return made


def malformed() -> dict[str, bytes]:
    """Return envelopes that the program must reject."""
    prepare = messages.encode(samples()["body-prepare"])
    made = broken_frames(prepare) | edited_samples(NAME, "malformed", messages.encode, samples())
    made["over-the-longest-letter"] = prepare.ljust(messages.MAX_ENVELOPE_BYTES + 65, b"\x00")
    made["text-not-utf-8"] = prepare.replace(b"night", b"nig\xff\xff")
    return made


def tolerated() -> dict[str, bytes]:
    """Return envelopes in forms that the program accepts but never writes."""
    return edited_samples(NAME, "tolerated", messages.encode, samples())


LEASES = Form(
    NAME,
    messages.encode,
    messages.decode,
    messages.EnvelopeError,
    samples,
    malformed,
    tolerated,
)
