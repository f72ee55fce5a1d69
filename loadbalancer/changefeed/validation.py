"""Validation of what subscribers send."""

from __future__ import annotations

from loadbalancer.changefeed.messages import (
    MAX_NAME_LENGTH,
    MAX_REFUSAL_LENGTH,
    MAX_REFUSALS,
    MAX_SCOPES,
    Acknowledge,
    ClientMessage,
    Subscribe,
    UpdateScopes,
    is_scope_name,
    unpack_client_message,
)
from loadbalancer.changefeed.subscriber import Subscriber


class FeedProtocolError(Exception):
    """A subscriber violated the protocol; in one line. Its connection is to be closed."""


def parse_message(payload: bytes) -> ClientMessage:
    """Decode a message of a subscriber.

    Raises:
        FeedProtocolError: The bytes are not such a message.
    """
    try:
        return unpack_client_message(payload)
    except ValueError as error:
        raise FeedProtocolError(f"invalid message: {error}") from None


def parse_cursors(pairs: tuple[tuple[str, int], ...]) -> dict[str, int]:
    """Return cursors by scope.

    Raises:
        FeedProtocolError: A scope is named twice or malformed, or a cursor is negative.
    """
    cursors = dict(pairs)
    if len(cursors) < len(pairs):
        raise FeedProtocolError("a scope is named twice")
    for name, cursor in pairs:
        if not is_scope_name(name):
            raise FeedProtocolError(f"{name[:80]!r} is no scope")
        if cursor < 0:
            raise FeedProtocolError(f"a cursor of {cursor}")
    return cursors


def validate_subscribe(message: Subscribe) -> dict[str, int]:
    """Check a subscription; return its cursors by scope.

    Raises:
        FeedProtocolError: Its name, its scopes or its cursors are not valid.
    """
    cursors = parse_cursors(message.cursors)
    if not 0 < len(message.name) <= MAX_NAME_LENGTH:
        raise FeedProtocolError(f"a subscriber's name has 1 to {MAX_NAME_LENGTH} characters")
    if len(cursors) > MAX_SCOPES:
        raise FeedProtocolError(f"{len(cursors)} scopes: {MAX_SCOPES} at most")
    return cursors


def validate_update(message: UpdateScopes, subscriber: Subscriber, revision: int) -> dict[str, int]:
    """Check a change of scopes against the subscription; return the cursors that are added.

    Raises:
        FeedProtocolError: The change does not fit the subscription.
    """
    added = parse_cursors(message.add)
    if message.generation != subscriber.generation + 1:
        raise FeedProtocolError(f"generation {message.generation} after {subscriber.generation}")
    is_parked = subscriber.parked_cursors is not None
    subscribed = (
        subscriber.scopes.keys()
        if subscriber.parked_cursors is None
        else subscriber.parked_cursors.keys()
    )
    removed = set(message.remove)
    if any(name not in subscribed for name in message.remove) or len(removed) < len(message.remove):
        raise FeedProtocolError("a scope is removed that was not there")
    if len((subscribed - removed) | added.keys()) > MAX_SCOPES:
        raise FeedProtocolError(f"more than {MAX_SCOPES} scopes")
    if max(added.values(), default=0) > revision and not is_parked:
        raise FeedProtocolError(f"a scope is added from past revision {revision}")
    return added


def validate_acknowledge(message: Acknowledge, subscriber: Subscriber) -> None:
    """Check an acknowledgement against what was sent.

    Raises:
        FeedProtocolError: It does not fit what was sent, or has too many or too long refusals.
    """
    if not subscriber.acknowledged <= message.sequence <= subscriber.sequence:
        raise FeedProtocolError(
            f"acknowledged {message.sequence} of {subscriber.sequence},"
            f" after {subscriber.acknowledged}"
        )
    if len(message.refused) > MAX_REFUSALS or any(
        len(refusal.scope) + len(refusal.key) + len(refusal.reason) > MAX_REFUSAL_LENGTH
        for refusal in message.refused
    ):
        raise FeedProtocolError(
            f"over {MAX_REFUSALS} refusals, or one of over {MAX_REFUSAL_LENGTH} characters"
        )
