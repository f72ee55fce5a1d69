"""Validation of subscribers' messages."""

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
    """A subscriber violated the protocol, so its connection must be closed.

    The message is a single line.
    """


def parse_message(payload: bytes) -> ClientMessage:
    """Decode a message from a subscriber.

    Raises:
        FeedProtocolError: The bytes are not a valid message.
    """
    try:
        return unpack_client_message(payload)
    except ValueError as error:
        raise FeedProtocolError(f"invalid message: {error}") from None


def parse_cursors(pairs: tuple[tuple[str, int], ...]) -> dict[str, int]:
    """Return the cursors as a mapping by scope.

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
        FeedProtocolError: The name, a scope or a cursor is invalid.
    """
    cursors = parse_cursors(message.cursors)
    if not 0 < len(message.name) <= MAX_NAME_LENGTH:
        raise FeedProtocolError(f"a subscriber's name has 1 to {MAX_NAME_LENGTH} characters")
    if len(cursors) > MAX_SCOPES:
        raise FeedProtocolError(f"{len(cursors)} scopes: {MAX_SCOPES} at most")
    return cursors


def validate_update(message: UpdateScopes, subscriber: Subscriber, revision: int) -> dict[str, int]:
    """Check a change of scopes against the subscription; return the cursors of added scopes.

    Raises:
        FeedProtocolError: The change is inconsistent with the subscription.
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
    """Check an acknowledgement against the patches that were sent.

    Raises:
        FeedProtocolError: The sequence number is out of range, or there are too many refusals, or
            one is too long.
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
