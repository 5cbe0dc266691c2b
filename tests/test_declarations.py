"""Invalid declarations are refused with the item, the value and a remedy."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.declarations import (
    Declarations,
    change_items,
    diff,
    from_items,
    load_toml,
    to_items,
)
from arbutustally.errors import ConfigurationInvalidError

TEXT = """
[classes.chat]
first_token_ms = 500
[accounts.school]
rate = 100
burst = 1000.0
[routes.chat]
path = "/v1/chat/completions"
kind = "model"
class = "chat"
service = "engine"
[routes.quotes]
path = "/quotes"
kind = "plain"
class = "chat"
service = "quotes"
methods = ["POST"]
idempotent = false
[models.marelle]
version = "v1"
move_by = 2030-01-01T00:00:00Z
[endpoints.engine]
checks_fencing = true
[endpoints.quotes]
"""
#: Text to replace in TEXT, its replacement, and parts that the message must contain.
INVALID_FILES = (
    ("rate = 100", 'rate = "x"', ("accounts/school", "'x'", "a number")),
    ("rate = 100", "rate = true", ("accounts/school", "True")),
    ("rate = 100", "rate = nan", ("accounts/school", "nan", "above 0")),
    ("rate = 100", "", ("accounts/school", "'rate'", "add it")),
    ("rate = 100", "rate = 1\nweight = 2", ("accounts/school", "'weight'", "rate, burst")),
    ("first_token_ms = 500", "", ("classes/chat", "exactly one")),
    ("first_token_ms = 500", "first_token_ms = 5\nrecompute_percent = 5", ("exactly one",)),
    ("first_token_ms = 500", "recompute_percent = 101", ("classes/chat", "101", "0 to 100")),
    ('class = "chat"', 'class = "chta"', ("routes/chat", "'chta'", "[classes.chta]")),
    ('service = "engine"', 'service = "engin"', ("routes/chat", "[endpoints.engin]")),
    ('kind = "model"', 'kind = "modle"', ("routes/chat", "'modle'", "'plain'")),
    ('kind = "model"', 'kind = "model"\nopen = true', ("routes/chat", "open", "account")),
    ("idempotent = false", "open = true", ("routes/quotes", "idempotent = true")),
    ('path = "/quotes"', 'path = "/v1/chat/completions"', ("routes/", "same path")),
    ('path = "/quotes"', 'path = "/healthz"', ("routes/quotes", "/healthz", "another")),
    ('path = "/quotes"', 'path = "quotes"', ("routes/quotes", "start it with '/'")),
    ('methods = ["POST"]', 'methods = ["FETCH"]', ("routes/quotes", "FETCH", "GET")),
    ('version = "v1"', "version = 1", ("models/marelle", "1", "string")),
    ("2030-01-01T00:00:00Z", "2030-01-01T00:00:00", ("models/marelle", "offset")),
    ("2030-01-01T00:00:00Z", '"soon"', ("models/marelle", "'soon'", "example")),
    ("[accounts.school]", '[accounts."a/b c"]', ("a/b c", "letters")),
    ("[endpoints.quotes]", "[endpoint.quotes]", ("'endpoint'", "endpoints")),
    ("[endpoints.quotes]", "[endpoints", ("TOML", "line")),
)


class DeclarationsTest(unittest.TestCase):
    def test_each_fault_names_item_value_and_remedy(self) -> None:
        """Guards against an invalid file that is accepted or refused without a reason."""
        for old, new, parts in INVALID_FILES:
            with self.subTest(new), self.assertRaises(ConfigurationInvalidError) as caught:
                load_toml(TEXT.replace(old, new, 1))
            for part in parts:
                self.assertIn(part, caught.exception.message)

    def test_normal_form_is_stable(self) -> None:
        """Guards against a file that shows differences after it was applied."""
        declared = load_toml(TEXT)
        items = to_items(declared)
        self.assertEqual(from_items(items), declared)
        self.assertTrue(diff(items, to_items(from_items(items))).empty)

    @given(st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(0, 2)), max_size=8))
    def test_changes_step_by_step_equal_the_whole(self, steps: list) -> None:
        """Guards against readers of a checkpoint that diverge from readers of all changes."""
        declared, items = Declarations(), {}
        for name, rate in steps:
            item = f"accounts/{name}"
            if rate:
                items[item] = {"rate": float(rate), "burst": 1.0}
                declared = change_items(declared, {item: items[item]}, ())
            elif item in items:
                del items[item]
                declared = change_items(declared, {}, (item,))
            else:
                with self.assertRaises(ConfigurationInvalidError):
                    change_items(declared, {}, (item,))
        self.assertEqual(declared, from_items(items))

    def test_item_that_others_refer_to_cannot_be_removed(self) -> None:
        """Guards against a route whose class was removed."""
        with self.assertRaisesRegex(ConfigurationInvalidError, "routes/chat"):
            change_items(load_toml(TEXT), {}, ("classes/chat",))

    def test_difference_names_fields(self) -> None:
        old = to_items(load_toml(TEXT))
        new = to_items(load_toml(TEXT.replace("rate = 100", "rate = 200")))
        found = diff(old, new)
        self.assertEqual([change.name for change in found.changed], ["accounts/school"])
        self.assertEqual((found.added, found.removed), ((), ()))
