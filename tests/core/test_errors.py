"""Tests of the description of unexpected errors."""

import unittest

from crocusrudder.core import errors


def divide(number: float) -> float:
    return 1.0 / number


class DescribeUnexpectedTest(unittest.TestCase):
    def test_the_calls_that_led_to_an_error_are_named(self):
        # Guards against a process that ends without a line that shows which of its parts failed.
        try:
            divide(0.0)
        except ZeroDivisionError as error:
            described = errors.describe_unexpected(error)
        self.assertEqual("CR-GEN-001", described["code"])
        self.assertIn("ZeroDivisionError", described["error"])
        self.assertTrue(described["calls"].endswith("test_errors.divide"))

    def test_a_coded_error_keeps_its_code_and_a_long_text_is_cut(self):
        described = errors.describe_unexpected(errors.CrocusrudderError("x" * 10_000))
        self.assertEqual("CR-GEN-000", described["code"])
        self.assertLessEqual(len(described["error"]), errors.MAX_DESCRIBED_CHARACTERS)


if __name__ == "__main__":
    unittest.main()
