"""Collects the names and formats that leave a process, from the code.

``python -m tools.compatibility`` writes them below
``tests/data/compatibility``. A test compares them with the code, so that
processes of two builds understand each other and old data stays readable.
Run it only when a name or format changes on purpose.
"""

import ast
import base64
import collections.abc
import enum
import importlib
import json
import pathlib
import pkgutil
import re
import typing

import msgspec
import typer
import typer.main

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = ROOT / "src"
PACKAGE = "hemlockkeel"
# Programs beside the product's; their formats stay in one process.
OTHER_PACKAGES = ("hemlockkeel_bench", "tests.soak")
FOLDER = ROOT / "tests" / "data" / "compatibility"
GENERATED = "rpc.gen"
# Calls whose first argument is a Python name.
NAMING_CALLS = frozenset({"NewType", "TypeVar", "ParamSpec"})
# Name of a log line's event; the keywords of the call name its fields.
EVENT = re.compile(r"[a-z][a-z_]*")

Value = typing.Any


class Format(typing.NamedTuple):
    """One encoded example of a structure."""

    # Tag of the structure; its field names where it has none.
    key: str
    value: Value
    msgpack: str
    json: str
    # How many decoders of the code take the example.
    decoders: int


# Modules


def import_modules(name: str = PACKAGE) -> list[typing.Any]:
    """Import every module of a package and return them."""
    package = importlib.import_module(name)
    found = []
    for info in pkgutil.walk_packages(package.__path__, name + "."):
        if GENERATED not in info.name:
            found.append(importlib.import_module(info.name))
    return found


def list_sources() -> list[pathlib.Path]:
    """Return the source files that are not generated."""
    return sorted(
        path
        for path in (SOURCE / PACKAGE).glob("**/*.py")
        if "gen" not in path.parts
    )


# Names


def list_literals() -> list[str]:
    """Return every string of one word: keys, paths, values, log events."""
    found: set[str] = set()
    for path in list_sources():
        tree = ast.parse(path.read_text())
        skipped = {id(node) for node in list_skipped(tree)}
        for node in ast.walk(tree):
            if id(node) not in skipped:
                found.update(get_words(node))
    return sorted(found)


def list_skipped(tree: ast.AST) -> collections.abc.Iterator[ast.AST]:
    """Yield nodes whose strings are names of Python or documentation."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr):
            yield from (
                ast.walk(node.value)
                if isinstance(node.value, ast.Constant)
                else ()
            )
        elif isinstance(node, ast.AnnAssign | ast.arg) and node.annotation:
            yield from ast.walk(node.annotation)
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield from ast.walk(node.returns) if node.returns else ()
        elif isinstance(node, ast.Call) and get_name(node) in NAMING_CALLS:
            yield from node.args[:1]
        elif isinstance(node, ast.JoinedStr):
            yield from (
                value
                for value in node.values
                if isinstance(value, ast.Constant)
                and not str(value.value).startswith("/")
            )


def get_words(node: ast.AST) -> collections.abc.Iterator[str]:
    """Yield the string of a node when it is one word, or log fields."""
    if isinstance(node, ast.Constant):
        value = node.value
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        if isinstance(value, str) and value and len(value.split()) == 1:
            yield value
    if isinstance(node, ast.Call) and is_log_call(node):
        yield from (word.arg for word in node.keywords if word.arg is not None)


def is_log_call(call: ast.Call) -> bool:
    """Tell whether a call looks like one that writes a log line."""
    first = call.args[0] if call.args else None
    if get_name(call) == "write":
        return True
    return (
        isinstance(first, ast.Constant)
        and isinstance(first.value, str)
        # A class is called with arguments of Python, not with log fields.
        and not get_name(call)[:1].isupper()
        and EVENT.fullmatch(first.value) is not None
    )


def get_name(call: ast.Call) -> str:
    """Return the last part of the name of what is called."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def list_flags() -> list[str]:
    """Return flags, arguments and environment variables of commands."""
    modules = import_modules()
    for package in OTHER_PACKAGES:
        modules += import_modules(package)
    found: set[str] = set()
    for module in modules:
        for app in list_apps(module):
            found |= describe_command("", typer.main.get_command(app))
    return sorted(found)


def list_apps(module: typing.Any) -> list[typer.Typer]:
    """Return the command lines that a module defines."""
    values = vars(module)
    found = [v for v in values.values() if isinstance(v, typer.Typer)]
    if not found and values.get("typer") is typer and "main" in values:
        # The module hands its main function to typer when it is run.
        found = [typer.Typer()]
        found[0].command()(values["main"])
    return found


def describe_command(name: str, command: typing.Any) -> set[str]:
    """Return what a command and the commands below it accept."""
    words = [
        word
        for parameter in command.params
        for word in (*parameter.opts, *list_variables(parameter))
    ]
    found = {f"{name}: {' '.join(sorted(words))}"}
    for child in getattr(command, "list_commands", lambda _: [])(None):
        found |= describe_command(child, command.get_command(None, child))
    return found


def list_variables(parameter: typing.Any) -> list[str]:
    """Return the environment variables of a parameter."""
    value = parameter.envvar or []
    return [value] if isinstance(value, str) else list(value)


def list_enum_values() -> list[str]:
    """Return the values of every enumeration, one line each."""
    return sorted(
        {
            ", ".join(sorted(describe_item(item) for item in kind))
            for kind in list_classes(enum.Enum)
        }
    )


def describe_item(item: enum.Enum) -> str:
    """Return what is written of an item: its value, its name beside a number.

    Items with numbers are written by their names as well.
    """
    if isinstance(item.value, int):
        return f"{item.name}={item.value}"
    return str(item.value)


def list_structures() -> list[str]:
    """Return the key of every structure that is encoded."""
    return sorted({make_key(kind) for kind in list_concrete_structures()})


def list_concrete_structures() -> list[typing.Any]:
    """Return the structures that are no base of others."""
    kinds = list_classes(msgspec.Struct)
    return [kind for kind in kinds if not kind.__subclasses__()]


def list_classes(base: type) -> list[typing.Any]:
    """Return the classes of the package below a base."""
    found = {
        value
        for module in import_modules()
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, base)
        and value.__module__.startswith(PACKAGE)
    }
    return sorted(found, key=lambda kind: (kind.__module__, kind.__name__))


def collect_names() -> dict[str, typing.Any]:
    """Return every name that leaves a process."""
    return {
        "enum_values": list_enum_values(),
        "flags": list_flags(),
        "structures": list_structures(),
        "words": list_literals(),
    }


# Formats


def make_key(kind: typing.Any) -> str:
    """Return what identifies a structure whatever its class is called."""
    config = kind.__struct_config__
    if config.tag is not None:
        return f"{config.tag}/{'array' if config.array_like else 'map'}"
    if config.array_like:
        return f"array of {len(kind.__struct_fields__)}"
    fields = msgspec.structs.fields(kind)
    return "map of " + ", ".join(describe_field(field) for field in fields)


def describe_field(field: msgspec.structs.FieldInfo) -> str:
    """Return a field's outer name, and what stands for it when missing."""
    default = field.default
    if field.default_factory is not msgspec.NODEFAULT:
        default = field.default_factory()
    if default is msgspec.NODEFAULT:
        return field.encode_name
    return f"{field.encode_name}={msgspec.json.encode(default).decode()}"


def is_recorded(kind: typing.Any) -> bool:
    """Tell whether a structure has examples of its own.

    One that is stored as a list without a tag shows up inside of others.
    """
    config = kind.__struct_config__
    return config.tag is not None or not config.array_like


def collect_formats() -> list[Format]:
    """Return examples of every structure, full ones and sparse ones."""
    decoders = list_decoders()
    found = set()
    for kind in list_concrete_structures():
        if is_recorded(kind):
            found.add(make_format(kind, True, decoders))
            found.add(make_format(kind, False, decoders))
    return sorted(found, key=lambda item: (item.key, item.msgpack))


def list_decoders() -> list[typing.Any]:
    """Return the decoders that modules of the package keep."""
    return [
        value
        for module in import_modules()
        for value in vars(module).values()
        if isinstance(value, msgspec.msgpack.Decoder)
    ]


def make_format(
    kind: typing.Any, full: bool, decoders: list[typing.Any]
) -> Format:
    """Return an example with all fields, or only the required ones."""
    value = make_example(kind, full)
    packed = msgspec.msgpack.encode(value)
    return Format(
        make_key(kind),
        write_value(value),
        base64.b64encode(packed).decode(),
        msgspec.json.encode(value).decode(),
        count_decoders(packed, kind, decoders),
    )


def write_value(value: typing.Any) -> str:
    """Return a structure's content as text, whatever encodes it."""
    return json.dumps(msgspec.to_builtins(value), sort_keys=True)


def count_decoders(
    packed: bytes, kind: typing.Any, decoders: list[typing.Any]
) -> int:
    """Return how many decoders read an example as its structure."""
    return sum(
        type(decode_or_none(decoder, packed)) is kind for decoder in decoders
    )


def decode_or_none(decoder: typing.Any, packed: bytes) -> typing.Any:
    """Return the decoded value; None when the decoder is for others."""
    try:
        return decoder.decode(packed)
    except msgspec.DecodeError:
        return None


def make_example(kind: typing.Any, full: bool) -> typing.Any:
    """Return an instance with values that tell its fields apart."""
    info = typing.cast(
        msgspec.inspect.StructType, msgspec.inspect.type_info(kind)
    )
    return kind(
        **{
            field.name: make_value(field.type, number, full)
            for number, field in enumerate(info.fields, 1)
            if full or field.required
        }
    )


def make_value(kind: msgspec.inspect.Type, number: int, full: bool) -> Value:
    """Return a value of a type; the number makes it one of its own."""
    match kind:
        case msgspec.inspect.BoolType():
            return number % 2 == 0
        case msgspec.inspect.IntType():
            return 1000 + number
        case msgspec.inspect.FloatType():
            return number + 0.25
        case msgspec.inspect.StrType():
            return f"text {number}"
        case msgspec.inspect.BytesType():
            return b"bytes %d" % number
        case msgspec.inspect.EnumType(cls):
            values = list(cls)
            return values[number % len(values)]
        case msgspec.inspect.StructType(cls):
            return make_example(cls, full)
    return make_container(kind, number, full)


def make_container(
    kind: msgspec.inspect.Type, number: int, full: bool
) -> Value:
    """Return a value of a type that is made of others."""
    match kind:
        case msgspec.inspect.ListType(item):
            return [make_value(item, number, full)]
        case msgspec.inspect.TupleType(items):
            return tuple(make_value(item, number, full) for item in items)
        case msgspec.inspect.DictType(key, value):
            made = make_value(key, number, full)
            return {made: make_value(value, number, full)}
        case msgspec.inspect.UnionType(types):
            some = [
                item
                for item in types
                if not isinstance(item, msgspec.inspect.NoneType)
            ]
            return make_value(some[0], number, full)
        case msgspec.inspect.AnyType():
            return "any"
    raise TypeError(f"no example for {kind}")


def write(name: str, value: typing.Any) -> None:
    """Write one file of the recorded names and formats."""
    text = json.dumps(value, indent=1, sort_keys=True, ensure_ascii=False)
    (FOLDER / name).write_text(text + "\n")


def main() -> None:
    """Write every file."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    write("names.json", collect_names())
    write("formats.json", [item._asdict() for item in collect_formats()])


if __name__ == "__main__":
    main()
