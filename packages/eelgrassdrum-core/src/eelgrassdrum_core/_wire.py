"""
MessagePack encoding of messages between entry instances.

A message is ``[kind, sender, body]``. Domains add their message types to `MESSAGES`.
"""

from typing import Any

import msgspec

from ._events import PeerReceived
from ._ids import Sender

MESSAGES: dict[str, type] = {}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[str, Sender, msgspec.Raw])


def register_message(message_type: type) -> type:
    """
    Register a message type under its class name.

    :param message_type: a ``NamedTuple`` type.
    :returns: the type, so that the function can be used as a decorator.
    """
    MESSAGES[message_type.__name__] = message_type
    return message_type


def encode_message(sender: Sender, message: Any) -> bytes:
    """
    Encode a message.

    :param sender: this instance.
    :param message: an instance of a registered type.
    :returns: the bytes to send.
    """
    return _encoder.encode((type(message).__name__, sender, message))


def decode_message(data: bytes) -> PeerReceived | None:
    """
    Decode a message.

    :param data: the bytes received.
    :returns: the event, or ``None`` when the message is malformed or of an unknown kind.
    """
    try:
        kind, sender, raw = _decoder.decode(data)
        message_type = MESSAGES.get(kind)
        if message_type is None:
            return None
        return PeerReceived(sender, msgspec.msgpack.decode(raw, type=message_type))
    except msgspec.MsgspecError:
        return None
