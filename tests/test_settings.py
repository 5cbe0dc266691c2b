"""Invalid settings are refused at start with the name, value, range and an example."""

import argparse
import unittest

from arbutustally.errors import SettingInvalidError
from arbutustally.settings import Setting, add_flags, printable, read

SETTINGS = (
    Setting("lease_s", float, 10.0, "Duration of a lease.", "s", 1, 300),
    Setting("secret_word", str, None, "A secret.", secret=True, example="abc"),
)


def parse(arguments: list[str], environment: dict[str, str]) -> dict:
    parser = argparse.ArgumentParser()
    add_flags(parser, SETTINGS)
    return read(SETTINGS, parser.parse_args(arguments), environment)


class SettingsTest(unittest.TestCase):
    def test_flag_goes_before_variable(self) -> None:
        values = parse(
            ["--lease-s", "20"], {"ARBUTUSTALLY_LEASE_S": "30", "ARBUTUSTALLY_SECRET_WORD": "x"}
        )
        self.assertEqual(values["lease_s"], 20.0)

    def test_out_of_range_names_value_range_and_example(self) -> None:
        with self.assertRaises(SettingInvalidError) as caught:
            parse(["--lease-s", "1000", "--secret-word", "x"], {})
        for part in ("--lease-s", "'1000'", "from 1 to 300 s", "example: --lease-s 10.0"):
            self.assertIn(part, str(caught.exception))

    def test_not_a_number_is_refused(self) -> None:
        with self.assertRaises(SettingInvalidError):
            parse(["--lease-s", "nan", "--secret-word", "x"], {})

    def test_missing_required_setting_is_refused(self) -> None:
        with self.assertRaisesRegex(SettingInvalidError, "--secret-word .* is required"):
            parse([], {})

    def test_misspelled_variable_is_refused(self) -> None:
        with self.assertRaisesRegex(SettingInvalidError, "ARBUTUSTALLY_LEASES"):
            parse(["--secret-word", "x"], {"ARBUTUSTALLY_LEASES": "1"})

    def test_secret_is_hidden_when_printed(self) -> None:
        values = parse(["--secret-word", "hunter2"], {})
        self.assertNotIn("hunter2", str(printable(SETTINGS, values)))
