"""Tests that the promises page and the mutations of tools.break_promises match the source."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from re import MULTILINE, findall
from unittest import TestCase

from tools.break_promises import BREAKS

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "sequoiapulley"
PAGE = (ROOT / "docs" / "PROMISES.md").read_text(encoding="utf-8")


class PromisesPageTest(TestCase):
    """The promises page refers only to existing tests, modules and traces."""

    def test_page_lists_eight_promises_in_order(self) -> None:
        self.assertEqual(findall(r"^## (\d)\.", PAGE, MULTILINE), list("12345678"))

    def test_named_tests_exist(self) -> None:
        names = findall(r"`(test_\w+)\.(\w+)(?:\.(\w+))?`", PAGE)
        self.assertGreater(len(names), 20)
        for module, owner, method in names:
            with self.subTest(module=module, owner=owner, method=method):
                found = getattr(import_module(module), owner)
                self.assertTrue(not method or callable(getattr(found, method)))

    def test_named_modules_and_traces_exist(self) -> None:
        for path in findall(r"`((?:\w+/)+\w+\.py)`", PAGE):
            folder = ROOT if path.startswith("tests/") else PACKAGE
            self.assertTrue((folder / path).exists(), path)
        traces = findall(r"`([\w-]+\.jsonl)`", PAGE)
        self.assertGreater(len(traces), 3)
        for trace in traces:
            self.assertTrue((ROOT / "tests" / "traces" / trace).exists(), trace)

    def test_each_break_matches_exactly_one_line(self) -> None:
        for number, item in enumerate(BREAKS, start=1):
            with self.subTest(number=number):
                text = (PACKAGE / item.module).read_text(encoding="utf-8")
                self.assertEqual(text.count(item.original), 1)
        self.assertEqual({item.promise for item in BREAKS}, set(range(1, 9)))
