"""Names and formats that leave a process are those of earlier builds.

Guards against a rename in the code that changes what peers, callers, stored
data, settings or metrics see: msgspec writes class and field names, typer
makes flags of parameter names. ``python -m tools.compatibility`` records
them anew when one changes on purpose.
"""

import base64
import json
import typing
import unittest

import msgspec

from tools import compatibility


def read(name: str) -> typing.Any:
    """Return a recorded file."""
    return json.loads((compatibility.FOLDER / name).read_text())


class TestNames(unittest.TestCase):
    """Names in the code against the recorded ones."""

    maxDiff = None

    def test_names_are_the_recorded_ones(self) -> None:
        recorded = read("names.json")
        found = compatibility.collect_names()
        self.assertEqual(sorted(recorded), sorted(found))
        for section, names in recorded.items():
            with self.subTest(section):
                self.assertEqual(
                    {"missing": [], "new": []},
                    {
                        "missing": sorted(set(names) - set(found[section])),
                        "new": sorted(set(found[section]) - set(names)),
                    },
                )


class TestFormats(unittest.TestCase):
    """Recorded examples against the structures of the code."""

    def setUp(self) -> None:
        self.recorded = [
            compatibility.Format(**item) for item in read("formats.json")
        ]
        self.kinds: dict[str, list[typing.Any]] = {}
        for kind in compatibility.list_concrete_structures():
            key = compatibility.make_key(kind)
            self.kinds.setdefault(key, []).append(kind)
        self.decoders = compatibility.list_decoders()

    def test_every_structure_is_recorded(self) -> None:
        expected = {
            key
            for key, kinds in self.kinds.items()
            if compatibility.is_recorded(kinds[0])
        }
        self.assertEqual(expected, {item.key for item in self.recorded})

    def test_binary_examples_decode_and_encode_to_the_same(self) -> None:
        for item in self.recorded:
            packed = base64.b64decode(item.msgpack)
            for kind in self.kinds.get(item.key, []):
                with self.subTest(item.key):
                    value = msgspec.msgpack.decode(packed, type=kind)
                    self.assertEqual(packed, msgspec.msgpack.encode(value))
                    self.assertEqual(
                        item.value, compatibility.write_value(value)
                    )

    def test_text_examples_decode_and_encode_to_the_same(self) -> None:
        for item in self.recorded:
            for kind in self.kinds.get(item.key, []):
                with self.subTest(item.key):
                    value = msgspec.json.decode(item.json, type=kind)
                    self.assertEqual(
                        item.json, msgspec.json.encode(value).decode()
                    )

    def test_as_many_decoders_take_each_example(self) -> None:
        for item in self.recorded:
            packed = base64.b64decode(item.msgpack)
            for kind in self.kinds.get(item.key, []):
                with self.subTest(item.key):
                    self.assertEqual(
                        item.decoders,
                        compatibility.count_decoders(
                            packed, kind, self.decoders
                        ),
                    )
