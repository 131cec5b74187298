"""The dispatcher instances of one simulator run, and the batches of their messages.

The adapter owns the endpoint tables, which all instances share, and the running instances. All of
it belongs to the only thread of the process.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from stepstream.config.settings_reader import read_settings
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.events import PolicyEvent
from stepstream.model.settings import Settings
from stepstream.policy.load_balancer import LoadBalancer
from stepstream.simulator_adapter.errors import WireError
from stepstream.simulator_adapter.wire_reader import (
    LIST_KINDS,
    Message,
    read_endpoint,
    read_event,
)
from stepstream.simulator_adapter.wire_writer import write_action

END_OF_BATCH = "END"
NO_TABLE = -1  # the table's number in a TOPOLOGY without `sheet`


@dataclass(frozen=True, slots=True)
class Instance:
    """One running dispatcher's policy, and the settings that its messages are read by."""

    settings: Settings
    load_balancer: LoadBalancer


class SimulatorAdapter:
    """Endpoint tables by their numbers, and running instances by their dispatchers' numbers."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[Endpoint, ...]] = {}
        self.instances: dict[int, Instance] = {}

    def run_batch(self, now_us: int, lines: Iterator[str]) -> list[str]:
        """Read one batch up to its END; return the lines of the reply without its FINISHED line.

        Raise ConfigurationError for a faulty message, and any error that the policy raises.
        """
        batch = Batch(self, now_us, lines)
        for line in lines:
            message = Message(line)
            if message.name == END_OF_BATCH:
                batch.decide()
                return batch.reply
            MESSAGE_HANDLERS.get(message.name, Batch.add_event)(batch, message)
        raise WireError("the input ends inside a batch")


class Batch:
    """One batch being read: the instance that its messages address, its events, the reply so far.

    An instance's consecutive events are collected and decided on together: when another instance is
    selected, when the instance starts anew or stops, or at the end of the batch.
    """

    def __init__(self, adapter: SimulatorAdapter, now_us: int, lines: Iterator[str]) -> None:
        self.adapter = adapter
        self.now_us = now_us
        self.lines = lines  # the input; `read_table` takes a table's RUNNER lines from it
        self.dispatcher: int | None = None  # number of the selected instance, running or not
        self.events: list[PolicyEvent] = []
        self.reply: list[str] = []

    def decide(self) -> None:
        """Let the instance decide on its events, if there are any, and write its actions."""
        if not self.events or self.dispatcher is None:
            return
        balancer = self.adapter.instances[self.dispatcher].load_balancer
        actions = balancer.handle(self.now_us, self.events)
        if actions:
            self.reply.append(f"AS dispatcher={self.dispatcher}")
            self.reply.extend(map(write_action, actions))
        self.events.clear()

    def _selected_dispatcher(self, message: Message) -> int:
        """Return the number of the instance that the message addresses, running or not."""
        if self.dispatcher is None:
            raise WireError(f"{message.name} comes before any SWITCH_TO")
        return self.dispatcher

    def _running_instance(self, message: Message) -> Instance:
        """Return the running instance that the message addresses."""
        dispatcher = self._selected_dispatcher(message)
        instance = self.adapter.instances.get(dispatcher)
        if instance is None:
            raise WireError(f"{message.name} for dispatcher {dispatcher}, which is not running")
        return instance

    # -- messages ----------------------------------------------------------------------------------

    def read_table(self, message: Message) -> None:
        """Handle TABLE and its RUNNER lines: replace the table of endpoints with this number."""
        fields = message.fields()
        table_number = fields.integer("sheet")
        endpoint_count = fields.integer("lines", 0)
        self.adapter.tables[table_number] = tuple(
            read_endpoint(Message(next(self.lines, ""))) for _ in range(endpoint_count)
        )

    def switch_instance(self, message: Message) -> None:
        """Handle SWITCH_TO: select the dispatcher that the following messages address."""
        self.decide()
        self.dispatcher = message.fields().integer("dispatcher")

    def start_instance(self, message: Message) -> None:
        """Handle ENLIST: start the instance, or start it anew, with these settings."""
        dispatcher = self._selected_dispatcher(message)
        self.decide()
        fields = message.fields()
        settings = read_settings(fields)
        balancer = LoadBalancer(settings, fields.integer("rng_seed"), self.now_us)
        self.adapter.instances[dispatcher] = Instance(settings, balancer)

    def stop_instance(self, message: Message) -> None:
        """Handle EXIT: stop the instance and discard its learned state."""
        dispatcher = self._selected_dispatcher(message)
        self._running_instance(message)  # raises for an instance that does not run
        self.decide()
        del self.adapter.instances[dispatcher]

    def add_endpoint_list(self, message: Message) -> None:
        """Handle TOPOLOGY: add an event with the endpoints that the table holds at this point."""
        self._running_instance(message)
        fields = message.fields()
        kind = fields.choice("mode", LIST_KINDS)
        table_number = fields.integer("sheet", NO_TABLE)
        if kind is EndpointListKind.FAILED:
            self.events.append(EndpointList(kind))
            return
        if table_number not in self.adapter.tables:
            raise WireError(f"sheet={table_number} was never sent")
        self.events.append(EndpointList(kind, self.adapter.tables[table_number]))

    def add_event(self, message: Message) -> None:
        """Handle any other message: add its event, or ignore it if the policy does not use it."""
        event = read_event(message, self._running_instance(message).settings)
        if event is not None:
            self.events.append(event)


MESSAGE_HANDLERS: dict[str, Callable[[Batch, Message], None]] = {
    "TABLE": Batch.read_table,
    "SWITCH_TO": Batch.switch_instance,
    "ENLIST": Batch.start_instance,
    "EXIT": Batch.stop_instance,
    "TOPOLOGY": Batch.add_endpoint_list,
}
