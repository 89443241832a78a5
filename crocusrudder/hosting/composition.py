"""Composition of the components of a process into one core."""

from collections.abc import Mapping

from crocusrudder.core import components
from crocusrudder.core import effects
from crocusrudder.core import events
from crocusrudder.core import ids
from crocusrudder.observability import dump
from crocusrudder.wire import messages

API_VERSION = "v1"


class Composition:
    """Dispatch events to components.

    The result of an effect goes to the component named by the prefix of its operation id. An
    operator's call is routed by the first segment of its path: ``operator_paths`` maps it to a
    component prefix. Every other event goes to all components, in the order of the mapping.
    """

    def __init__(
        self,
        process: ids.ProcessId,
        incarnation: ids.Incarnation,
        components_by_prefix: Mapping[str, components.Component],
        operator_paths: Mapping[str, str],
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._components = dict(components_by_prefix)
        self._operator_paths = dict(operator_paths)
        self._logged_refusals: set[tuple[ids.ProcessId, str]] = set()

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle one event and return the effects to perform."""
        if isinstance(event, events.OperatorAsked):
            return self._handle_operator_call(event, now)
        operation = getattr(event, "operation", None)
        if operation is not None:
            component = self._components.get(components.get_prefix(operation))
            return component.handle(event, now) if component else []
        produced = [
            effect
            for component in self._components.values()
            for effect in component.handle(event, now)
        ]
        if isinstance(event, events.Received):
            produced += self._handle_received(event, now)
        return produced

    def tick(self, now: float) -> list[effects.Effect]:
        """Check the deadlines of all components and return the effects to perform."""
        return [effect for component in self._components.values() for effect in component.tick(now)]

    def dump(self) -> dict[str, object]:
        """Return the states of all components by prefix."""
        return {name: component.dump() for name, component in self._components.items()}

    def assemble_dump(self, counters: Mapping[str, int], now: float) -> dict[str, object]:
        """Return the state dump of the process."""
        return dump.assemble(self._process, self._incarnation, self._components, counters, now)

    def _handle_received(self, event: events.Received, now: float) -> list[effects.Effect]:
        if isinstance(event.message, messages.DumpRequest):
            return [self._make_dump_answer(event, now)]
        if not isinstance(event.message, messages.Refused):
            return []
        refusal = (event.sender, event.message.code)
        count = effects.Count("refused_by_peers")
        if refusal in self._logged_refusals:
            return [count]
        self._logged_refusals.add(refusal)
        fields = {"peer": event.sender, "code": event.message.code, "text": event.message.text}
        return [count, effects.LogChange("refused_by_peer", fields)]

    def _handle_operator_call(
        self, event: events.OperatorAsked, now: float
    ) -> list[effects.Effect]:
        path = event.path[1:] if event.path[:1] == (API_VERSION,) else event.path
        name = self._operator_paths.get(path[0] if path else "")
        if name is None:
            body = {"code": "CR-GEN-404", "message": "no such path", "hint": "", "problems": []}
            return [effects.AnswerOperator(event.operation, 404, body)]
        return self._components[name].handle(event, now)

    def _make_dump_answer(self, event: events.Received, now: float) -> effects.Effect:
        state = dump.encode(self.assemble_dump({}, now))
        dump_answer = messages.DumpAnswer(event.message.dump, state)
        return effects.Send(event.sender, dump_answer, event.incarnation)
