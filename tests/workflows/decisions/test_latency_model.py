"""Tests of the model of latencies beside best-effort tasks."""

import math
import random
import unittest

from crocusrudder.core import ids
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from crocusrudder.workflows.decisions import latency_model

FLOOR_MS = 4.0
TARGET_MS = 18.0
FRONTS = tuple(model.ServedImage(name, TARGET_MS) for name in ("front-a", "front-b", "front-c"))
FRONT = FRONTS[0]


class LatencyModelTest(unittest.TestCase):
    def setUp(self):
        self.model = latency_model.LatencyModel()
        self.noise = random.Random(1)

    def _measure(
        self,
        front: model.ServedImage,
        agent: str,
        load: float,
        exposure: dict[str, float],
        inflation: float,
    ) -> None:
        """Let a worker measure for 6 s while the load of the image is the same everywhere."""
        self.model.ensure_image(front, 100.0)
        for step in range(12):
            now = 100.0 + 0.5 * step
            for name, units in ((agent, exposure), ("idle", {})):
                process = ids.ProcessId(name)
                service = 1 + (inflation if units else 0.0)
                latency_ms = FLOOR_MS * service / (1 - load * service) * self.noise.gauss(1, 0.03)
                self.model.record_exposure(process, units, now)
                self.model.record_latency(process, front, front, latency_ms, now)
            self.model.refresh()

    def test_a_high_load_is_not_taken_for_interference(self):
        # Guards against a harmless image that is throttled for the peak of the load.
        self._measure(FRONT, "a1", 0.6, {"batch": 1.0}, 0.0)
        self.assertLess(self.model.estimate(FRONT, "batch").mean, 0.1)

    def test_what_is_harmless_at_low_load_is_not_at_high_load(self):
        # Guards against a slope that is the same at each load.
        self._measure(FRONT, "a1", 0.2, {"batch": 1.0}, 0.5)
        self.assertLess(self.model.predict_ms(FRONT, 0.2, {"batch": 1.0}), TARGET_MS)
        self.assertGreater(self.model.predict_ms(FRONT, 0.6, {"batch": 1.0}), TARGET_MS)

    def test_an_image_is_known_beside_others_before_it_has_run_there(self):
        # Guards against a test of each pair of images: ten times as many as there are images.
        for number, front in enumerate(FRONTS[:2]):
            self._measure(front, f"a{number}", 0.3, {"heavy": 1.0}, 1.2)
            self._measure(front, f"b{number}", 0.3, {"light": 1.0}, 0.0)
        heavy = self.model.estimate(FRONTS[2], "heavy")
        light = self.model.estimate(FRONTS[2], "light")
        self.assertGreater(heavy.mean, 0.6)
        self.assertTrue(heavy.is_tested and light.is_tested)
        self.assertLess(light.upper, 0.25)
        self.assertFalse(self.model.estimate(FRONTS[2], "unknown").is_tested)

    def test_a_queue_that_drains_is_not_put_down_to_the_image_that_still_works(self):
        # Guards against a harmless image that is throttled for one that has just been paused.
        agent = ids.ProcessId("a1")
        self._measure(FRONT, "a0", 0.3, {"heavy": 1.0}, 1.2)
        self.model.record_exposure(agent, {"heavy": 1.0, "light": 1.0}, 105.5)
        self.model.record_exposure(agent, {"light": 1.0}, 106.0)
        for now, latency_ms in ((106.2, 60.0), (106.7, 30.0)):
            self.model.record_latency(agent, FRONT, FRONT, latency_ms, now)
        self.assertEqual(0, self.model.estimate(FRONT, "light").reports)


class OddTargetTest(unittest.TestCase):
    """Targets that say nothing of the latencies that are measured."""

    def _measure(self, model_: latency_model.LatencyModel, *fronts: model.ServedImage) -> None:
        """Let each image measure 20 ms alone, and 50 ms beside a best-effort image."""
        for step in range(20):
            now = 100.0 + 0.5 * step
            exposure = {"batch": 1.0} if step >= 10 else {}
            for front in fronts:
                agent = ids.ProcessId(front.label)
                model_.ensure_image(front, now)
                model_.record_exposure(agent, exposure, now)
                model_.record_latency(agent, front, front, 50.0 if exposure else 20.0, now)
            model_.refresh()

    def test_a_sound_job_of_the_image_is_reckoned_as_without_the_odd_one(self):
        # Guards against a floor that one job's target sets for all jobs of its image, for later
        # owners too: the slack of a sound job was tripled by a target of half a millisecond.
        sound = model.ServedImage("front", 50.0)
        alone = latency_model.LatencyModel()
        self._measure(alone, sound)
        for target_ms in (5e-324, 1e-300, 0.5, 1.0, 1e15):
            with self.subTest(target_ms=target_ms):
                beside = latency_model.LatencyModel()
                self._measure(beside, model.ServedImage("front", target_ms), sound)
                stored = rows.InterferenceEstimates({}, served=beside.export_estimates())
                later = latency_model.LatencyModel()
                learned, _ = rows.decode_estimates(rows.encode(stored))
                later.restore_estimates(learned.served, 200.0)
                for known in (beside, later):
                    for load in (0.0, 0.4, 1.0):
                        slack = known.compute_slack(sound, 0.8, load)
                        self.assertEqual(alone.compute_slack(sound, 0.8, load), slack)
                    mean = known.estimate(sound, "batch").mean
                    self.assertAlmostEqual(alone.estimate(sound, "batch").mean, mean, places=6)
                self.assertEqual(alone.estimate(sound, "batch"), beside.estimate(sound, "batch"))

    def test_estimates_that_an_earlier_release_stored_without_a_target_are_used(self):
        # Guards against an upgrade that forgets the interference of all images, and against a
        # floor of another target that is taken over with it.
        stored = {
            name: {rows.FLOOR: (math.log(floor_ms), 0.0, 0), "batch": (1.2, 0.1, 50)}
            for name, floor_ms in (("sound", 10.0), ("odd", 0.125), ("huge", 1e40))
        }
        stored["none"] = {"batch": (1.2, 0.1, 50)}
        stored["beyond"] = {rows.FLOOR: (800.0, 0.0, 0)}
        later = latency_model.LatencyModel()
        self.assertEqual(2, later.restore_untargeted(stored))
        for name in (*stored, "new"):
            later.ensure_image(model.ServedImage(name, 50.0), 100.0)
            estimate = later.estimate(model.ServedImage(name, 50.0), "batch")
            self.assertEqual(name == "sound", estimate.reports == 50, name)

    def test_stored_figures_out_of_range_are_left_out_one_by_one(self):
        # Guards against one figure that takes all others from a later owner, or that stays.
        for odd in (math.nan, math.inf, -math.inf, 1e15, -1.0, 0.0):
            stored = (
                rows.ServedEstimates("front", odd, 10.0, {"batch": (1.2, 0.1, 50)}),
                rows.ServedEstimates("front", 50.0, odd, {"batch": (1.2, 0.1, 50)}),
                rows.ServedEstimates("other", 50.0, 10.0, {"batch": (1.2, odd, 50)}),
                rows.ServedEstimates("sound", 50.0, 10.0, {"batch": (1.2, 0.1, 50)}),
            )
            later = latency_model.LatencyModel()
            later.restore_estimates(stored, 100.0)
            estimate = later.estimate(model.ServedImage("sound", 50.0), "batch")
            self.assertEqual(50, estimate.reports)
            self.assertLess(abs(later.estimate(FRONT, "batch").mean), 2.0)
            exported = later.export_estimates()
            self.assertTrue(all(math.isfinite(item.floor_ms) for item in exported))


if __name__ == "__main__":
    unittest.main()
