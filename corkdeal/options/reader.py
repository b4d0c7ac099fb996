"""Reads the operators' file into records, and says of every fault where it stands.

kdl-py rather than ckdl: ckdl tells the place of neither a node nor a fault, and a refusal here names both.
"""

from __future__ import annotations

import dataclasses
import math
import os
import stat
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar, get_type_hints

import kdl

from .records import Options

Whole = TypeVar("Whole")
MOST_BYTES = 1 << 20  # of a file that a person writes
KINDS = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}


class Fault(NamedTuple):
    """One thing wrong, and where; line and column count from 1, 0 where the file itself is at fault."""

    line: int
    column: int
    node: str  # path of nodes, as `knowledge.every`
    text: str

    def __str__(self) -> str:
        """The place, then what is wrong there."""
        place = f"line {self.line}, column {self.column}: " if self.line else ""
        return f"{place}{self.node + ': ' if self.node else ''}{self.text}"


class OptionsError(ValueError):
    """A file that can't be used, with all its faults in the order of their places."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        self.path, self.faults = path, sorted(faults)
        super().__init__("; ".join(f"{path}: {fault}" for fault in self.faults))


class Placed(NamedTuple):
    """A value or a node with its place."""

    value: Any
    place: Any  # kdl.ParseFragment

    def at(self) -> tuple[int, int]:
        """Line and column, found only when they are told: finding them reads the text from its start."""
        error = self.place.error("")
        return error.line, error.col


class PlacedValue(Placed):
    """kdl-py gives a value's end as its place."""

    def at(self) -> tuple[int, int]:
        """Line and column of its first character."""
        error = self.place.error("")
        text = self.place.fragment
        return error.line - text.count("\n"), max(1, error.col - len(text)) if "\n" not in text else 1


def load(path: str) -> Options:
    """Read and check the operators' file; `OptionsError` holds every fault."""
    return parse(text_of(path), path)


def text_of(path: str) -> str:
    """A file's text, if it is a regular file of a size that a person writes."""
    try:
        if not stat.S_ISREG(os.stat(path).st_mode):  # a FIFO would keep the reader waiting for ever
            raise OptionsError(path, [Fault(0, 0, "", "is no regular file")])
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise OptionsError(path, [Fault(0, 0, "", error.strerror or str(error))]) from None
    if len(data) > MOST_BYTES:
        raise OptionsError(path, [Fault(0, 0, "", f"is larger than {MOST_BYTES} bytes")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        raise OptionsError(path, [Fault(line, column, "", "is not UTF-8 here")]) from None


def parse(text: str, path: str = "options") -> Options:
    """Check the operators' file's text and turn it into records."""
    options = parse_as(Options, text, path)
    if options.halls:
        from . import halls

        faults = [Fault(*place.at(), node, text) for place, node, text in halls.faults(options.halls)]
        if faults:
            raise OptionsError(path, faults)
    return options


def parse_as(whole: type[Whole], text: str, path: str) -> Whole:
    """Check a document's text and turn it into a record of that kind.

    Its fields are the nodes that may stand at the top: one record or None, or `many` of a name.
    """
    config = kdl.ParseConfig(
        nodeConverters={None: Placed},
        valueConverters={None: lambda value, place: PlacedValue(value.value, place)},
    )
    try:
        document = kdl.parse(text, config)
    except kdl.ParseError as error:
        said = error.msg.partition("parse error:")[2].strip()
        raise OptionsError(path, [Fault(error.line, error.col, "", " ".join(said.split()))]) from None
    except RecursionError:
        raise OptionsError(path, [Fault(0, 0, "", "nodes stand in one another too deeply")]) from None
    except (ValueError, ArithmeticError) as error:  # figures that no number holds
        raise OptionsError(path, [Fault(0, 0, "", f"can't be read: {error}")]) from None
    faults: list[Fault] = []
    hints = get_type_hints(whole)
    fields = {f.metadata.get("child", f.name): f for f in dataclasses.fields(whole)}
    made: dict[str, Any] = {}
    for node in document.nodes:
        name = node.value.name if node.value.name in fields else key_of(node.value.name)
        if (field := fields.get(name)) is None:
            faults.append(Fault(*node.at(), node.value.name, f"unknown node; known are {listed(fields)}"))
        elif "many" in field.metadata:
            made[field.name] = (*made.get(field.name, ()), record(node, field.metadata["many"], faults))
        elif name in made:
            faults.append(Fault(*node.at(), node.value.name, "stands here a second time"))
        else:
            kind = next(k for k in hints[name].__args__ if dataclasses.is_dataclass(k))
            made[name] = record(node, kind, faults)
    if faults:
        raise OptionsError(path, faults)
    return whole(**made)


def key_of(name: str) -> str:
    """A record's field for a node's name; KDL joins words by hyphens."""
    return name.replace("-", "_") if "_" not in name else ""


def listed(names: Any) -> str:
    """Names as the file writes them."""
    return ", ".join(sorted(n.replace("_", "-") for n in names))


def given(node: Placed) -> Iterator[tuple[str, Placed | None, Placed]]:
    """A node's settings by name, from its properties and from its children, with each one's place."""
    for name, value in node.value.props.items():
        yield name, value, value
    for child in node.value.nodes:
        inner = child.value
        single = len(inner.args) == 1 and not inner.props and not inner.nodes
        yield inner.name, inner.args[0] if single else None, child


def record(node: Placed, kind: type, faults: list[Fault], above: str = "") -> Any:
    """One node as its record; None and more faults where that can't be."""
    before, named = len(faults), f"{above}{node.value.name}"
    fields = {f.name: f for f in dataclasses.fields(kind)}
    types, values = get_type_hints(kind), {}
    children = {f.metadata["child"]: f for f in fields.values() if "many" in f.metadata}
    scalars = {name for name, f in fields.items() if "least" in f.metadata and f.metadata["argument"] is None}
    arguments = sorted(
        (f.metadata["argument"], f) for f in fields.values() if f.metadata.get("argument") is not None
    )

    def take(name: str, value: Placed, path: str) -> None:
        values[name], wrong = checked(value.value, types[name], fields[name].metadata)
        if wrong:
            faults.append(Fault(*value.at(), path, wrong))

    for (_, field), value in zip(arguments, node.value.args, strict=False):
        take(field.name, value, named)
    if len(node.value.args) > len(arguments):
        said = "takes settings by name only" if not arguments else f"takes {len(arguments)} values"
        faults.append(Fault(*node.value.args[len(arguments)].at(), named, said))
    for name, value, place in given(node):
        key, path = key_of(name), f"{named}.{name}"
        if name in children and place is not value:
            field = children[name]
            made = record(place, field.metadata["many"], faults, f"{named}.")
            values.setdefault(field.name, []).append(made)
        elif key not in scalars:
            known = [*scalars, *children]
            faults.append(Fault(*place.at(), path, f"unknown setting; known are {listed(known)}"))
        elif key in values:
            faults.append(Fault(*place.at(), path, "stands here a second time"))
        elif value is None:
            faults.append(Fault(*place.at(), path, "takes exactly one value"))
            values[key] = None
        else:
            take(key, value, path)
    for name, field in fields.items():
        if name not in values and field.default is dataclasses.MISSING:
            faults.append(Fault(*node.at(), f"{named}.{name.replace('_', '-')}", "must be given"))
        if "placed" in field.metadata:
            values[name] = node
    if len(faults) > before:
        return None
    return kind(**{name: tuple(v) if isinstance(v, list) else v for name, v in values.items()})


def checked(value: Any, kind: type, bounds: Any) -> tuple[Any, str]:
    """A value in its type, and what is wrong with it."""
    if kind is float and type(value) is int:
        value = float(value)
    elif kind is int and type(value) is float and value.is_integer():
        value = int(value)
    said = f"{value:g}" if type(value) is float else f"{value!r:.60}"
    if type(value) is not kind or (kind is float and not math.isfinite(value)):
        return None, f"must be {KINDS[kind]}, not {said}"
    if bounds["choices"] and value not in bounds["choices"]:
        return None, f"must be one of {', '.join(bounds['choices'])}, not {said}"
    least, most = bounds["least"], bounds["most"]
    if (least is not None and value < least) or (most is not None and value > most):
        return None, f"must lie between {least} and {most}, not {said}"
    if bounds["absolute"] and (not value.startswith("/") or "\0" in value):
        return None, f"must be an absolute path, not {said}"
    return value, ""
