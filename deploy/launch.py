"""Starts a role from a checkout, where the package is not installed."""

import pathlib
import sys

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"
sys.path.insert(0, str(SOURCE))

from hemlockkeel.platform import __main__ as program  # noqa: E402

program.main()
