"""Checks that the documentation matches the code.

Commands, flags, metrics, headers, make targets and links in the pages exist.
"""

import pathlib
import re
import unittest

from hemlockkeel._internal import commands
from hemlockkeel._internal.entry import parse
from hemlockkeel._internal.utils import metrics
from tools import make_pages

ROOT = pathlib.Path(__file__).parent.parent.parent
MODULES = (
    "hemlockkeel_bench",
    "hemlockkeel_bench.path",
    "hemlockkeel_bench.slopes",
    "hemlockkeel_bench.soak",
)


def read_pages() -> dict[str, str]:
    """Return the text of every page."""
    pages = [*ROOT.glob("docs/**/*.md"), ROOT / "README.md"]
    return {str(path.relative_to(ROOT)): path.read_text() for path in pages}


class TestPages(unittest.TestCase):
    """Names in the pages against those in the code."""

    def test_generated_pages_are_current(self) -> None:
        for name, make in make_pages.PAGES.items():
            text = (ROOT / "docs" / "operations" / name).read_text()
            self.assertEqual(make(), text, f"run 'make pages' for {name}")

    def test_commands_exist(self) -> None:
        for page, text in read_pages().items():
            for name in re.findall(r"(?:`|\$B/|bin/)hemlockkeel (\w+)", text):
                self.assertIn(name, commands.COMMANDS, page)

    def test_flags_exist(self) -> None:
        known = set(re.findall(r"--[\w-]+", make_pages.make_settings()))
        sources = (ROOT / "src").glob("**/*.py")
        for path in sources:
            known.update(re.findall(r'"(--[\w-]+)"', path.read_text()))
        # Flags that typer derives from the parameter names of programs.
        known.update(["--only", "--profile", "--compare", "--seed"])
        known.update(["--speed", "--help", "--faults", "--shifts"])
        known.update(["--no-shifts", "--seconds", "--policy", "--minutes"])
        for page, text in read_pages().items():
            for flag in re.findall(r"(?<![\w-])--[a-z][\w-]+", text):
                self.assertIn(flag, known, page)

    def test_metrics_exist(self) -> None:
        known = {counter.value for counter in metrics.Counter}
        known |= {timer.value for timer in metrics.Timer}
        prefixes = {name.split(".")[0] for name in known}
        for page, text in read_pages().items():
            for name in re.findall(r"`([a-z]+(?:\.[a-z_]+)+)`", text):
                if name.split(".")[0] in prefixes:
                    self.assertIn(name, known, page)

    def test_headers_exist(self) -> None:
        source = pathlib.Path(parse.__file__).read_text()
        for page, text in read_pages().items():
            for name in re.findall(r"`(Hemlockkeel-[\w-]+)", text):
                self.assertIn(name, source, page)

    def test_make_targets_exist(self) -> None:
        makefile = (ROOT / "Makefile").read_text()
        for page, text in read_pages().items():
            for target in re.findall(r"`make (\w+)", text):
                self.assertIn(f"\n{target}:", makefile, page)

    def test_links_resolve(self) -> None:
        for page, text in read_pages().items():
            folder = (ROOT / page).parent
            for link in re.findall(r"\]\(([^)#:]+)\)", text):
                self.assertTrue((folder / link).exists(), f"{page}: {link}")
