"""Reads the options file into records, and reports each fault with its position.

The parser is kdl-py rather than ckdl: ckdl gives no position, neither of a node nor of a syntax error.
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

Document = TypeVar("Document")
MAX_FILE_SIZE = 1 << 20  # largest accepted file; options files are written by hand
TYPE_NAMES = {str: "a string", int: "an integer", float: "a number", bool: "true or false"}


class Fault(NamedTuple):
    """One fault and its position; line and column count from 1, and are 0 for a fault of the whole file."""

    line: int
    column: int
    node: str  # path of a node or setting, such as `knowledge.every`
    text: str

    def __str__(self) -> str:
        """Format the position, the path and the text."""
        position = f"line {self.line}, column {self.column}: " if self.line else ""
        return f"{position}{self.node + ': ' if self.node else ''}{self.text}"


class OptionsError(ValueError):
    """A file that cannot be used; `faults` holds all its faults, ordered by position."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        self.path, self.faults = path, sorted(faults)
        super().__init__("; ".join(f"{path}: {fault}" for fault in self.faults))


class Located(NamedTuple):
    """A value or a node with its position in the source."""

    value: Any
    place: Any  # kdl.ParseFragment

    def position(self) -> tuple[int, int]:
        """Return line and column; called for faults only, since it scans the text from its start."""
        error = self.place.error("")
        return error.line, error.col


class LocatedValue(Located):
    """A value; kdl-py reports the position of its end."""

    def position(self) -> tuple[int, int]:
        """Return line and column of the value's first character."""
        error = self.place.error("")
        text = self.place.fragment
        return error.line - text.count("\n"), max(1, error.col - len(text)) if "\n" not in text else 1


def load(path: str) -> Options:
    """Read and check an options file; raise `OptionsError` with all its faults."""
    return parse(read_text(path), path)


def read_text(path: str) -> str:
    """Return the text of a regular file of at most `MAX_FILE_SIZE`."""
    try:
        if not stat.S_ISREG(os.stat(path).st_mode):  # opening a FIFO could block for ever
            raise OptionsError(path, [Fault(0, 0, "", "not a regular file")])
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_SIZE + 1)
    except OSError as error:
        raise OptionsError(path, [Fault(0, 0, "", error.strerror or str(error))]) from None
    if len(data) > MAX_FILE_SIZE:
        raise OptionsError(path, [Fault(0, 0, "", f"larger than {MAX_FILE_SIZE} bytes")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        raise OptionsError(path, [Fault(line, column, "", "invalid UTF-8")]) from None


def parse(text: str, path: str = "options") -> Options:
    """Parse and check the text of an options file."""
    options = parse_document(Options, text, path)
    if options.halls:
        from . import zones

        faults = [
            Fault(*place.position(), node, text) for place, node, text in zones.find_faults(options.halls)
        ]
        if faults:
            raise OptionsError(path, faults)
    return options


def parse_document(document_type: type[Document], text: str, path: str) -> Document:
    """Parse and check a KDL document, and return it as an instance of the dataclass `document_type`.

    Its fields are the allowed top-level nodes: one record or None, or a tuple of records (`repeated`).
    """
    config = kdl.ParseConfig(
        nodeConverters={None: Located},
        valueConverters={None: lambda value, place: LocatedValue(value.value, place)},
    )
    try:
        document = kdl.parse(text, config)
    except kdl.ParseError as error:
        message = error.msg.partition("parse error:")[2].strip()
        raise OptionsError(path, [Fault(error.line, error.col, "", " ".join(message.split()))]) from None
    except RecursionError:
        raise OptionsError(path, [Fault(0, 0, "", "nodes are nested too deeply")]) from None
    except (ValueError, ArithmeticError) as error:  # number literals that Python cannot convert
        raise OptionsError(path, [Fault(0, 0, "", f"cannot be parsed: {error}")]) from None
    faults: list[Fault] = []
    hints = get_type_hints(document_type)
    fields = {f.metadata.get("child", f.name): f for f in dataclasses.fields(document_type)}
    values: dict[str, Any] = {}
    for node in document.nodes:
        name = node.value.name if node.value.name in fields else field_name(node.value.name)
        if (field := fields.get(name)) is None:
            faults.append(
                Fault(*node.position(), node.value.name, f"unknown node; known are {format_names(fields)}")
            )
        elif "repeated" in field.metadata:
            values[field.name] = (
                *values.get(field.name, ()),
                read_record(node, field.metadata["repeated"], faults),
            )
        elif name in values:
            faults.append(Fault(*node.position(), node.value.name, "is given a second time"))
        else:
            record_type = next(k for k in hints[name].__args__ if dataclasses.is_dataclass(k))
            values[name] = read_record(node, record_type, faults)
    if faults:
        raise OptionsError(path, faults)
    return document_type(**values)


def field_name(name: str) -> str:
    """Return the field for a KDL name, which joins words by hyphens; empty for a name with an underscore."""
    return name.replace("-", "_") if "_" not in name else ""


def format_names(names: Any) -> str:
    """Format field names as the file spells them."""
    return ", ".join(sorted(n.replace("_", "-") for n in names))


def settings_of(node: Located) -> Iterator[tuple[str, Located | None, Located]]:
    """Yield name, value and source of each setting of a node, from its properties and its children.

    The value is None for a child that does not hold exactly one value; the source gives the position.
    """
    for name, value in node.value.props.items():
        yield name, value, value
    for child in node.value.nodes:
        inner = child.value
        has_one_value = len(inner.args) == 1 and not inner.props and not inner.nodes
        yield inner.name, inner.args[0] if has_one_value else None, child


def read_record(node: Located, record_type: type, faults: list[Fault], parent_path: str = "") -> Any:
    """Convert a node to its record; if it has faults, append them to `faults` and return None."""
    initial_fault_count, node_path = len(faults), f"{parent_path}{node.value.name}"
    fields = {f.name: f for f in dataclasses.fields(record_type)}
    types, values = get_type_hints(record_type), {}
    children = {f.metadata["child"]: f for f in fields.values() if "repeated" in f.metadata}
    named_settings = {
        name for name, f in fields.items() if "minimum" in f.metadata and f.metadata["argument"] is None
    }
    arguments = sorted(
        (f.metadata["argument"], f) for f in fields.values() if f.metadata.get("argument") is not None
    )

    def convert_setting(name: str, value: Located, path: str) -> None:
        values[name], fault = convert(value.value, types[name], fields[name].metadata)
        if fault:
            faults.append(Fault(*value.position(), path, fault))

    for (_, field), value in zip(arguments, node.value.args, strict=False):
        convert_setting(field.name, value, node_path)
    if len(node.value.args) > len(arguments):
        text = "takes settings by name only" if not arguments else f"takes {len(arguments)} values"
        faults.append(Fault(*node.value.args[len(arguments)].position(), node_path, text))
    for name, value, source in settings_of(node):
        key, path = field_name(name), f"{node_path}.{name}"
        if name in children and source is not value:
            field = children[name]
            item = read_record(source, field.metadata["repeated"], faults, f"{node_path}.")
            values.setdefault(field.name, []).append(item)
        elif key not in named_settings:
            known_names = [*named_settings, *children]
            faults.append(
                Fault(*source.position(), path, f"unknown setting; known are {format_names(known_names)}")
            )
        elif key in values:
            faults.append(Fault(*source.position(), path, "is given a second time"))
        elif value is None:
            faults.append(Fault(*source.position(), path, "takes exactly one value"))
            values[key] = None
        else:
            convert_setting(key, value, path)
    for name, field in fields.items():
        if name not in values and field.default is dataclasses.MISSING:
            faults.append(Fault(*node.position(), f"{node_path}.{name.replace('_', '-')}", "must be given"))
        if "position_field" in field.metadata:
            values[name] = node
    if len(faults) > initial_fault_count:
        return None
    return record_type(**{name: tuple(v) if isinstance(v, list) else v for name, v in values.items()})


def convert(value: Any, value_type: type, constraints: Any) -> tuple[Any, str]:
    """Convert a value to its type and check it; return the value and the fault, empty if it is valid."""
    if value_type is float and type(value) is int:
        value = float(value)
    elif value_type is int and type(value) is float and value.is_integer():
        value = int(value)
    shown = f"{value:g}" if type(value) is float else f"{value!r:.60}"
    if type(value) is not value_type or (value_type is float and not math.isfinite(value)):
        return None, f"must be {TYPE_NAMES[value_type]}, not {shown}"
    if constraints["choices"] and value not in constraints["choices"]:
        return None, f"must be one of {', '.join(constraints['choices'])}, not {shown}"
    minimum, maximum = constraints["minimum"], constraints["maximum"]
    if (minimum is not None and value < minimum) or (maximum is not None and value > maximum):
        return None, f"must lie between {minimum} and {maximum}, not {shown}"
    if constraints["absolute"] and (not value.startswith("/") or "\0" in value):
        return None, f"must be an absolute path, not {shown}"
    return value, ""
