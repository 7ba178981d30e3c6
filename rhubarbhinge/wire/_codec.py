"""Messages to bytes and back, by the Cap'n Proto schema that mirrors the dataclasses."""

import dataclasses
import types
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from rhubarbhinge.net._frame_error import FrameError

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))

#: Words that one message may make the reader visit: 4 MB, four times the largest frame.
_TRAVERSAL_LIMIT_WORDS = 512 * 1024

_Writer = Callable[[Any, Any], None]
_Reader = Callable[[Any], Any]


class Codec:
    """Encodes and decodes a fixed set of message classes.

    :param message_types: frozen dataclasses, each with a struct of its name in the schema.
    """

    def __init__(self, message_types: tuple[type, ...]) -> None:
        self._field_by_type = {cls: _lower_first(cls.__name__) for cls in message_types}
        self._writers = {cls: _writer(cls) for cls in message_types}
        self._readers = {_lower_first(cls.__name__): _reader(cls) for cls in message_types}

    def encode(self, message: Any) -> bytes:
        """Encode one message.

        :param message: an instance of one of the codec's message classes.
        :returns: the message's bytes, without framing.
        :raises KeyError: for a class that the codec does not know, a broken invariant.
        """
        envelope = _SCHEMA.Envelope.new_message()
        struct = envelope.init(self._field_by_type[type(message)])
        self._writers[type(message)](struct, message)
        return envelope.to_bytes()

    def decode(self, data: bytes) -> Any:
        """Decode one message.

        :param data: bytes as made by :meth:`encode`, from anyone.
        :returns: the message.
        :raises FrameError: with code ``malformed`` when the bytes are no message.
        """
        try:
            with _SCHEMA.Envelope.from_bytes(
                data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
            ) as envelope:
                name = str(envelope.which())
                return self._readers[name](getattr(envelope, name))
        except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as fault:
            raise FrameError("malformed", f"not a message: {type(fault).__name__}") from None


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _writer(cls: type) -> _Writer:
    steps = tuple(_field_writer(name, hint) for name, hint in _fields(cls))

    def write(struct: Any, message: Any) -> None:
        for step in steps:
            step(struct, message)

    return write


def _field_writer(name: str, hint: Any) -> _Writer:
    camel = _camel(name)
    item = _item_type(hint)
    if item is None and dataclasses.is_dataclass(hint):
        return _nested_writer(name, camel, _writer(hint))
    if item is None:
        return lambda struct, message: setattr(struct, camel, getattr(message, name))
    if dataclasses.is_dataclass(item):
        return _struct_list_writer(name, camel, _writer(item))
    return lambda struct, message: setattr(struct, camel, list(getattr(message, name)))


def _nested_writer(name: str, camel: str, write: _Writer) -> _Writer:
    return lambda struct, message: write(struct.init(camel), getattr(message, name))


def _struct_list_writer(name: str, camel: str, write: _Writer) -> _Writer:
    def step(struct: Any, message: Any) -> None:
        values = getattr(message, name)
        places = struct.init(camel, len(values))
        for place, value in zip(places, values, strict=True):
            write(place, value)

    return step


def _reader(cls: type) -> _Reader:
    steps = tuple(_field_reader(name, hint) for name, hint in _fields(cls))
    return lambda struct: cls(*[step(struct) for step in steps])


def _field_reader(name: str, hint: Any) -> _Reader:
    camel = _camel(name)
    item = _item_type(hint)
    if item is None and dataclasses.is_dataclass(hint):
        read = _reader(hint)
        return lambda struct: read(getattr(struct, camel))
    if item is None:
        return lambda struct: getattr(struct, camel)
    if dataclasses.is_dataclass(item):
        read_item = _reader(item)
        return lambda struct: tuple([read_item(place) for place in getattr(struct, camel)])
    return lambda struct: tuple(getattr(struct, camel))


def _fields(cls: type) -> list[tuple[str, Any]]:
    hints = typing.get_type_hints(cls)
    return [(field.name, hints[field.name]) for field in dataclasses.fields(cls)]


def _item_type(hint: Any) -> Any:
    if typing.get_origin(hint) is tuple and not isinstance(hint, types.UnionType):
        return typing.get_args(hint)[0]
    return None
