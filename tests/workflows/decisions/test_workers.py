"""Tests of the state of workers that run tasks side by side."""

import unittest

import msgspec

from crocusrudder.platform import operator
from crocusrudder.wire import messages
from crocusrudder.workflows.decisions import workers
from tests.workflows.decisions import test_throttling


class UnitsTest(unittest.TestCase):
    def test_no_task_is_an_exposure_beyond_all_processors(self):
        # Guards against a job whose request for processors, which nothing limits for best-effort
        # tasks, makes its image count as harmless: its effect was divided by the request.
        demand = messages.Resources(operator.MAX_COUNT, 1, 0)
        odd = msgspec.structs.replace(test_throttling.BEST_EFFORT, demand=demand)
        view = test_throttling.make_view("a1")
        self.assertAlmostEqual(10.0, workers.compute_units(view, operator.MAX_COUNT))
        for count in (1, 2):
            test_throttling.assign(view, f"odd-{count}", odd)
            units = workers.compute_image_units(view, odd.image)
            self.assertAlmostEqual(10.0 * count, units)


if __name__ == "__main__":
    unittest.main()
