"""Adapter that runs many balancers on the simulator's protocol, without decisions of its own.

    python -m loadbalancer.sim_adapter < batches > replies

Input and output have one JSON object per line. If a line is not a valid batch, the process exits
with a message on standard error and status 2. An exception inside a balancer is reported as a
`fault` of that balancer.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Mapping, Sequence
from types import TracebackType
from typing import Any, Final

from loadbalancer.policy import Balancer, api
from loadbalancer.settings import (
    Json,
    MalformedError,
    checked,
    choice,
    optional,
    read_settings,
    required,
)

RESULTS = {
    "delivered": api.AttemptResult.OK,
    "app_error": api.AttemptResult.ERROR,
    "shed": api.AttemptResult.REJECTED,
    "expired": api.AttemptResult.TIMEOUT,
    "dial_failed": api.AttemptResult.CONNECT_FAILED,
    "dropped": api.AttemptResult.RESET,
    "revoked": api.AttemptResult.CANCELLED,
    "unused": api.AttemptResult.NOT_SENT,
}
STATES = {0: api.UpstreamState.REMOVED, 1: api.UpstreamState.READY, 2: api.UpstreamState.DRAINING}
LISTS = {
    0: api.EndpointListKind.DELTA,
    1: api.EndpointListKind.FULL,
    2: api.EndpointListKind.CACHED,
    3: api.EndpointListKind.FAILED,
}


EXIT_MALFORMED: Final = 2


def read_upstream(row: Any) -> api.Upstream:
    """Read an entry of the endpoint list.

    Raises:
        MalformedError: A field is missing or of another type.
    """
    row = checked(row, "rows_in", dict)
    return api.Upstream(
        required(row, "upstream", int),
        choice(row, "availability", STATES, 1),
        optional(row, "locality", str, ""),
        optional(row, "cohort", int, 0),
        optional(row, "scale", float, 1.0),
        optional(row, "up_since_ns", int, 0),
        optional(row, "class_of_host", str, ""),
    )


def _read_request_arrived(event: Json) -> api.Event:
    tenant = event.get("user_group") or ""  # without tenants this may be 0
    return api.RequestArrived(
        required(event, "ticket", str),
        required(event, "kind", str),
        checked(tenant, "user_group", str),
        required(event, "deadline_ns", int),
        optional(event, "cost_guess_ns", int, 0),
        optional(event, "entity", str, ""),
        optional(event, "resent", bool, False),
    )


def _read_load_report(event: Json) -> Mapping[str, float] | None:
    report = optional(event, "metrics", dict, None)
    return report and {name: checked(value, "metrics", float) for name, value in report.items()}


def _read_attempt_finished(event: Json) -> api.Event:
    return api.AttemptFinished(
        required(event, "ticket", str),
        required(event, "attempt", int),
        required(event, "upstream", int),
        choice(event, "result", RESULTS),
        optional(event, "took_ns", int, 0),
        optional(event, "complete", bool, False),
        _read_load_report(event),
    )


def _read_response_started(event: Json) -> api.Event:
    return api.ResponseStarted(
        required(event, "ticket", str),
        required(event, "attempt", int),
        required(event, "upstream", int),
        optional(event, "took_ns", int, 0),
    )


def _read_health_check_finished(event: Json) -> api.Event:
    return api.HealthCheckFinished(
        required(event, "upstream", int),
        choice(event, "result", RESULTS),
        optional(event, "took_ns", int, 0),
        _read_load_report(event),
    )


def _read_gossip(event: Json) -> api.Event:
    try:
        data = base64.b64decode(required(event, "blob", str), validate=True)
    except ValueError:
        raise MalformedError("message with a blob that is not base64") from None
    return api.GossipReceived(required(event, "origin_peer", int), data)


EVENT_READERS: dict[str, Callable[[Json], api.Event]] = {
    "submit": _read_request_arrived,
    "returned": _read_attempt_finished,
    "timer": lambda event: api.TimerFired(required(event, "name", str)),
    "dropped": lambda event: api.ClientDisconnected(required(event, "ticket", str)),
    "accepted": _read_response_started,
    "probe_result": _read_health_check_finished,
    "message": _read_gossip,
}
ACTION_WRITERS: dict[type, Callable[[Any], Json]] = {
    api.StartAttempt: lambda action: {
        "t": "submit_to",
        "ticket": action.request,
        "upstream": action.upstream,
        "timeout_ns": action.timeout_ns,
    },
    api.RejectRequest: lambda action: {
        "t": "push_back",
        "ticket": action.request,
        "backoff_ns": action.retry_after_ns,
    },
    api.FailRequest: lambda action: {"t": "finish_error", "ticket": action.request},
    api.CancelAttempt: lambda action: {
        "t": "retract",
        "ticket": action.request,
        "attempt": action.attempt,
    },
    api.CheckHealth: lambda action: {"t": "sample", "upstream": action.upstream},
    api.SendGossip: lambda action: {
        "t": "announce",
        "dst": action.peer,
        "blob": base64.b64encode(action.data).decode(),
    },
    api.SubscribeEndpoints: lambda action: {"t": "track", "active": action.enabled},
    api.FetchEndpoints: lambda _: {"t": "fetch"},
    api.SetTimer: lambda action: {
        "t": "schedule",
        "wait_ns": action.delay_ns,
        "name": action.name,
    },
    api.LogMessage: lambda action: {"t": "write_log", "message": action.text},
}


class Host:
    """The balancers of one process, and the numbered endpoint lists that they share."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[api.Upstream]] = {}

    def batch(self, line: str | bytes) -> str:
        """Handle a batch of events, and return the reply.

        Raises:
            MalformedError: The line is not a batch.
        """
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise MalformedError(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise MalformedError("a batch must be an object")
        now = _integer(batch, "sim_time_ns")
        number = _integer(batch, "round")
        happened = batch.get("happened")
        if not isinstance(happened, list):
            raise MalformedError("batch without the array happened")
        # Each balancer handles all of its events of a batch in one call, before it decides.
        pending: dict[int, list[api.Event]] = {}
        commands: list[Json] = []
        for event in happened:
            self._dispatch_event(checked(event, "event", dict), now, pending, commands)
        for balancer, events in pending.items():
            self._run(balancer, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _dispatch_event(
        self, event: Json, now: int, pending: dict[int, list[api.Event]], commands: list[Json]
    ) -> None:
        """Handle an event of the host, or add an event of a balancer to `pending`."""
        kind = required(event, "t", str)
        if kind == "directory":
            rows = required(event, "rows_in", list)
            self.lists[required(event, "buffer", int)] = [read_upstream(row) for row in rows]
            return
        number = required(event, "balancer", int)
        if kind == "new_instance":
            pending.pop(number, None)
            self._start(number, event, now, commands)
        elif kind == "power_off":
            self.balancers.pop(number, None)
            pending.pop(number, None)
        elif number not in self.balancers:
            raise MalformedError(f"event {kind} for balancer {number}, which was not started")
        else:
            pending.setdefault(number, []).append(self._read_event(kind, event))

    def _start(self, number: int, event: Json, now: int, commands: list[Json]) -> None:
        settings = read_settings(required(event, "settings", dict))
        seed = required(event, "seed", int)
        try:
            self.balancers[number] = Balancer(settings, seed, now)
        except Exception as error:  # noqa: BLE001 (reported on the wire as the balancer's fault)
            commands.append(_fault(number, error))

    def _read_event(self, kind: str, event: Json) -> api.Event:
        if kind == "membership":
            form = choice(event, "form", LISTS)
            has_entries = form is not api.EndpointListKind.FAILED
            entries = choice(event, "buffer", self.lists) if has_entries else ()
            return api.EndpointsUpdated(form, entries)
        if kind not in EVENT_READERS:
            raise MalformedError(f"unknown event {kind!r}")
        return EVENT_READERS[kind](event)

    def _run(self, number: int, now: int, events: list[api.Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = ACTION_WRITERS[type(action)](action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:  # noqa: BLE001 (reported on the wire as the balancer's fault)
            commands.append(_fault(number, error))


def _integer(batch: Json, key: str) -> int:
    value = batch.get(key)
    if not isinstance(value, int) or isinstance(value, bool):
        raise MalformedError(f"batch without a whole-number {key}")
    return value


def _fault(number: int, error: Exception) -> Json:
    """Return a `fault` for an exception inside a balancer, with the function and line."""
    frame: TracebackType | None = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    location = f" at {frame.tb_frame.f_code.co_name}:{frame.tb_lineno}" if frame is not None else ""
    return {
        "t": "fault",
        "balancer": number,
        "message": f"{type(error).__name__}: {error}{location}",
    }


def main() -> int:
    """Reply to the batches on standard input until end of file."""
    host = Host()
    # Lines are read as bytes, so that invalid UTF-8 is reported as malformed input.
    for count, line in enumerate(sys.stdin.buffer, 1):
        try:
            reply = host.batch(line)
        except MalformedError as error:
            print(f"sim_adapter: line {count}: {error}", file=sys.stderr)
            return EXIT_MALFORMED
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
