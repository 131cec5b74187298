"""Samples of the Gearman server: packets, conversations of several peers, answers of the core."""

from collections.abc import Iterable

from golden.fronts.configurations import LIMITS, Sample
from golden.fronts.gearman_packets import (
    INPUTS,
    Advance,
    FirstJobAnswered,
    Sending,
    Step,
    conversation_steps,
    message_bytes,
)
from golden.fronts.http_requests import INPUTS as HTTP_INPUTS
from golden.fronts.http_samples import chunked_result
from golden.recorded_data import text_of

from stepstream.core.commands import Answer, Outcome
from stepstream.gearman import codec
from stepstream.gearman.errors import GearmanError
from tests.gearman.service_harness import FakePeer, ServiceHarness


def argument_counts(*, answers: bool) -> dict[int, int]:
    """Return how many arguments each kind of packet has, by its number."""
    forms = codec.RESPONSE_ARGUMENTS if answers else codec.REQUEST_ARGUMENTS
    return {int(kind): len(names) for kind, names in forms.items()}


def written_packet(answers: bool, number: int, arguments: tuple[bytes, ...]) -> bytes:
    """Return a packet as the program writes it."""
    write = codec.encode_response if answers else codec.encode_request
    return write(codec.PacketKind(number), *arguments)


def read_packets(answers: bool, data: bytes) -> list:
    """Return what the codec reads: packets as number and arguments, text as words, or a fault."""
    parser = codec.Parser(LIMITS, responses=answers)
    found = []
    parser.feed(data)
    try:
        while (item := parser.next_message()) is not None:
            found.append(item_values(item))
    except GearmanError as fault:
        found.append({"fault": fault.code})
    return found


def item_values(item: object) -> object:
    """Return the values of what the codec read."""
    match item:
        case codec.Packet(kind, arguments):
            return [int(kind), *map(text_of, arguments)]
        case codec.UnknownPacket(number):
            return {"unknown": number}
        case codec.TextLine(words):
            return {"words": list(words)}
    raise TypeError(type(item))


class RecordingPeer(FakePeer):
    """A peer of the harness that keeps the bytes that it is sent, in a list that peers share."""

    def __init__(self, harness: ServiceHarness, name: str, received: list) -> None:
        """Connect to the service of the harness."""
        super().__init__(harness)
        self.name = name
        self.received_bytes = received

    def receive(self, data: bytes, close: bool) -> None:
        """Keep what the service sends to this peer."""
        self.received_bytes.append([self.name, text_of(data), "close" if close else "stays"])


class Conversation:
    """The service, the core and the policy without a socket, and the peers of a conversation."""

    def __init__(self, access_control: object = None) -> None:
        """Start without peers; a peer connects when it first sends."""
        self.harness = ServiceHarness()
        self.peers: dict[str, RecordingPeer] = {}
        self.received: list[list[str]] = []
        if access_control is not None:
            self.harness.host.access_control = access_control

    def play(self, steps: Iterable[Step]) -> list[list[list[str]]]:
        """Return what the peers receive after each step."""
        return [self.play_step(step) for step in steps]

    def play_step(self, step: Step) -> list[list[str]]:
        """Return what the peers receive after this step."""
        self.received.clear()
        match step:
            case Sending(peer, data):
                self.peer(peer).send_bytes(data)
            case Advance(duration_us):
                self.harness.advance_time(duration_us)
            case FirstJobAnswered():
                self.answer_first_job(step)
        return [list(row) for row in self.received]

    def peer(self, name: str) -> RecordingPeer:
        """Return the peer of this name, connected."""
        if name not in self.peers:
            self.peers[name] = RecordingPeer(self.harness, name, self.received)
            self.harness.peers.append(self.peers[name])
        return self.peers[name]

    def answer_first_job(self, step: FirstJobAnswered) -> None:
        """Let the core answer the first job."""
        job = next(iter(self.harness.state.jobs.by_handle.values()))
        answer = Answer(job.request, Outcome(step.outcome), step.result, step.retry_after_us)
        self.harness.service.answer(self.harness.now_us, job, answer)
        self.harness.deliver_output()


def converse(steps: Iterable[Step], access_control: object = None) -> list[list[list[str]]]:
    """Return what the peers of a new conversation receive after each step."""
    return Conversation(access_control).play(steps)


def codec_samples() -> dict[str, Sample]:
    """Return the samples of each kind of packet, written and read."""
    samples: dict[str, Sample] = {}
    for answers, side in ((False, "request"), (True, "answer")):
        for number, count in argument_counts(answers=answers).items():
            arguments = [f"a{index}".encode() for index in range(count)]
            if arguments:
                arguments[-1] = b"\0\xff"  # only the last argument may hold any byte
            case = answers, number, tuple(arguments)
            samples[f"{side}/{number:02}"] = lambda case=case: text_of(written_packet(*case))
            samples[f"{side} read/{number:02}"] = lambda case=case: read_packets(
                case[0], written_packet(*case)
            )
    return samples


def outcome_samples() -> dict[str, Sample]:
    """Return the samples of final answers, with and without the option for exceptions."""
    answers = {
        name: FirstJobAnswered(**answer) for name, answer in HTTP_INPUTS["final_answers"].items()
    }
    chunks = [
        {"data": "one", "warning": False},
        {"data": "care", "warning": True},
    ]
    answers["served pieces"] = FirstJobAnswered("served", chunked_result(chunks, "end"), 0)
    submission = conversation_steps(["job submitted"])
    end = conversation_steps(INPUTS["outcome_conversation_end"])
    option = conversation_steps(["exceptions enabled"])
    samples: dict[str, Sample] = {}
    for name, answer in answers.items():
        steps = [*submission, answer, *end]
        samples[f"outcome/{name}"] = lambda steps=steps: converse(steps)
        steps = [*option, *steps]
        samples[f"outcome/{name}/exceptions"] = lambda steps=steps: converse(steps)
    return samples


def gearman_samples() -> dict[str, Sample]:
    """Return every sample of the Gearman server."""
    samples = codec_samples() | outcome_samples()
    for name, rows in INPUTS["conversations"].items():
        steps = conversation_steps(rows)
        samples[f"talk/{name}"] = lambda steps=steps: converse(steps)
    for name, message in INPUTS["single_messages"].items():
        data = message_bytes(message)
        samples[f"word/{name}"] = lambda data=data: converse([Sending("c", data)])
        samples[f"word read/{name}"] = lambda data=data: read_packets(False, data)
    return samples
