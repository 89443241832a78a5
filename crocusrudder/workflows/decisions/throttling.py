"""Choose the CPU shares of best-effort tasks so that latency-critical ones stay within target.

Load pattern: best-effort tasks of many images beside latency-critical tasks whose load swings
within seconds. The shares are computed from the predicted latencies at each measurement: they fall
before the load has risen, and rise again in its valley (as the growth of best-effort work with the
slack in Heracles, Lo et al., ISCA 2015). What is not predicted is left to feedback: the shares are
reduced by the excess over the prediction, and all runs are paused when a latency stays over target.
"""

import math

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from crocusrudder.workflows.decisions import cpu_shares
from crocusrudder.workflows.decisions import latency_model
from crocusrudder.workflows.decisions import over_target
from crocusrudder.workflows.decisions import workers

PREDICTED_LIMIT = 0.8
"""Predicted latency ratio (share of the latency target) up to which best-effort tasks may work."""
NEAR_TARGET_ABOVE = 0.85
"""Measured latency ratio above which no further best-effort task is placed."""
OVER_TARGET_ABOVE = 0.95
"""Latency ratio above which a worker's latency-critical tasks count as over their target."""
OVER_TARGET_SECONDS = 1.4
"""Time over target after which the best-effort tasks that interfere are paused."""
ALL_OVER_TARGET_SECONDS = 2.0
"""The same for all others. The requirement is 4 s, of which measuring and throttling take about
1 s."""
LOWER_INTERVAL_SECONDS = 0.9
"""Time after which a latency that is still over target halves the shares; until then, it follows
the last change."""
LAST_RESORT_CPU_SHARE = 20
"""CPU share in percent at which an image that may interfere starts as a last resort."""
EXCESS_WEIGHT = 0.4
"""Weight of the newest measurement in the smoothed excess over the prediction."""
MOVE_AFTER_SECONDS = 1.0
"""Time after which a paused run with a checkpoint is moved to another worker."""
MOVE_WITHOUT_CHECKPOINT_AFTER_SECONDS = 3.0
"""The same for a run without a checkpoint, which has to start from the beginning."""
MAX_MOVED_CPU_SHARE = 50
"""CPU share in percent up to which a run moves to where it is not throttled."""
OBSERVATION_INTERVAL_SECONDS = 0.45
"""Minimum interval between two observations of a worker, which measures over half a second."""


class ThrottleController:
    """Learn the interference between images and choose the CPU shares of best-effort runs."""

    def __init__(self) -> None:
        self._model = latency_model.LatencyModel()
        self._workers: dict[ids.ProcessId, workers.Worker] = {}
        self._refreshed_at = -math.inf
        self._now = -math.inf
        self._stages: dict[job_registry.StageRecord, float] = {}
        """When tasks of latency-critical stages were last observed."""
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def export_estimates(self) -> tuple[rows.ServedEstimates, ...]:
        """Return the estimated interference between images, for storage."""
        return self._model.export_estimates()

    def restore_estimates(self, known: rows.InterferenceEstimates, now: float) -> int:
        """Restore the estimates that an earlier owner stored; return how many are out of range."""
        left_out = self._model.restore_estimates(known.served, now)
        return left_out + self._model.restore_untargeted(known.inflations)

    def predict_latency_ratio(
        self, view: fleet.AgentView, added: model.Stage | None = None
    ) -> float:
        """Return the highest expected ratio of latency to target on the worker; 0 without targets.

        ``added`` is a stage of which one more task would be placed on the worker.
        """
        exposure = self._measure_exposure(view)
        if added is not None:
            units = workers.compute_units(view, added.demand.millicores)
            exposure[added.image] = exposure.get(added.image, 0.0) + units
        return max(
            (
                self._model.predict_ms(served, self._model.get_load(stage).get_current(), exposure)
                / served.target_ms
                for stage, served in workers.list_targets(view)
            ),
            default=0.0,
        )

    def predict_cpu_share(
        self, view: fleet.AgentView, added: model.Stage, at_peak: bool = False
    ) -> float:
        """Return the CPU share, 0 to 1, that one more task is expected to get on the worker.

        Tasks of images that interfere as little retain theirs. The load is the mean of the last
        period or, if higher, the present one; the maximum of the period if ``at_peak``.
        """
        exposure = self._measure_exposure(view)
        units = max(workers.compute_units(view, added.demand.millicores), 1e-6)
        share = 1.0
        for stage, served in workers.list_targets(view):
            load = self._model.get_load(stage)
            expected = max(load.compute_mean(), load.predict(self._now))
            slack = self._model.compute_slack(
                served, PREDICTED_LIMIT, load.get_peak() if at_peak else expected
            )
            upper = self._model.estimate(served, added.image).upper
            coefficients = {n: self._model.estimate(served, n).mean for n in exposure}
            slack -= sum(c * exposure[n] for n, c in coefficients.items() if c <= upper)
            share = min(share, max(slack, cpu_shares.MIN_SLACK) / max(upper * units, 1e-6))
        return share

    def is_tested(self, view: fleet.AgentView, stage: model.Stage) -> bool:
        """Return whether a stage's interference with the latency-critical tasks is known."""
        return not self.list_untested(view, stage.image)

    def is_probing(self, view: fleet.AgentView) -> bool:
        """Return whether a run with unknown interference is on the worker."""
        return any(self.list_untested(view, image) for image in view.usage.best_effort_by_image)

    def is_near_target(self, view: fleet.AgentView) -> bool:
        """Return whether a measured latency is too high for further best-effort tasks."""
        return max(workers.measure_latency_ratios(view).values(), default=0.0) > NEAR_TARGET_ABOVE

    def is_paused(self, view: fleet.AgentView, image: str) -> bool:
        """Return whether the best-effort runs of an image are paused on the worker."""
        return not self._get_cpu_share(view, image)

    def list_untested(self, view: fleet.AgentView, image: str) -> list[model.ServedImage]:
        """Return the latency-critical images beside which an image's interference is unknown."""
        return [
            served
            for served in view.usage.served_images
            if not self._model.estimate(served, image).is_tested
        ]

    def predict_stage_latency_ratio(self, view: fleet.AgentView, stage: model.Stage) -> float:
        """Return the expected ratio of latency to target for a task of the stage on the worker."""
        exposure = self._measure_exposure(view)
        load = latency_model.DEFAULT_LOAD
        return self._model.predict_ms(stage.served_image, load, exposure) / stage.target_ms

    def adjust(self, view: fleet.AgentView, now: float) -> None:
        """Learn from a worker's latest measurements and set the CPU shares of its runs."""
        self._now = max(self._now, now)
        is_first = view.agent not in self._workers
        worker = self._get_worker(view)
        if is_first:
            self._begin(view, worker, now)
        elif now - worker.observed_at >= OBSERVATION_INTERVAL_SECONDS:
            worker.observed_at = now
            self._refresh(now)
            self._observe(view, worker, now)
            self._choose_cpu_shares(view, worker, now)
        self._set_cpu_shares(view, worker, now)

    def _begin(self, view: fleet.AgentView, worker: workers.Worker, now: float) -> None:
        """Begin with a worker on which an earlier owner may have started and throttled runs."""
        self._set_cpu_shares(view, worker, now)
        self._observe(view, worker, now)
        highest = max(workers.measure_latency_ratios(view).values(), default=0.0)
        self._measure_over_target(worker, highest, now)

    def limit_started(self, view: fleet.AgentView, now: float) -> None:
        """Lower CPU shares for a run that was just assigned to the worker.

        The order to start it contains the shares, so that nothing unknown works at full share.
        """
        usage = view.usage
        if not usage.latency_critical or not usage.best_effort:
            return
        worker = self._get_worker(view)
        for image, share in self._compute_cpu_shares(view, worker, now).items():
            worker.cpu_shares[image] = min(share, worker.cpu_shares.get(image, 100))
        self._set_cpu_shares(view, worker, now)

    def limit_image(self, view: fleet.AgentView, image: str, now: float) -> None:
        """Limit an image, which may interfere, to a low CPU share; pause it near target."""
        if not view.usage.latency_critical:
            return
        worker = self._get_worker(view)
        limit = 0 if self.is_near_target(view) else LAST_RESORT_CPU_SHARE
        worker.cpu_shares[image] = limit
        worker.last_resort.add(image)
        self._set_cpu_shares(view, worker, now)

    def list_runs_to_move(self, view: fleet.AgentView, now: float) -> list[fleet.Assignment]:
        """Return the runs on a worker that have been paused too long."""
        worker = self._workers.get(view.agent)
        if worker is None or not worker.paused_since:
            return []
        return [
            run
            for run in view.usage.best_effort
            if now - worker.paused_since.get((run.task_name, run.run), now)
            > (MOVE_AFTER_SECONDS if run.checkpoint else MOVE_WITHOUT_CHECKPOINT_AFTER_SECONDS)
        ]

    def _get_worker(self, view: fleet.AgentView) -> workers.Worker:
        worker = self._workers.get(view.agent)
        if worker is None:
            worker = self._workers[view.agent] = workers.Worker()
        return worker

    def _get_cpu_share(self, view: fleet.AgentView, image: str) -> int:
        worker = self._workers.get(view.agent)
        if worker is None or not view.usage.latency_critical:
            return 100
        return worker.cpu_shares.get(image, 100)

    def _refresh(self, now: float) -> None:
        """Recompute pressures and sensitivities, and forget stages that are gone."""
        if now - self._refreshed_at >= latency_model.BIN_SECONDS:
            self._refreshed_at = now
            self._model.refresh()
            valid = latency_model.HISTORY_BINS * latency_model.BIN_SECONDS
            self._stages = {s: at for s, at in self._stages.items() if now - at < valid}
            self._model.forget_stages(set(self._stages))

    def _observe(self, view: fleet.AgentView, worker: workers.Worker, now: float) -> None:
        highest: dict[job_registry.StageRecord, float] = {}
        for task in view.usage.latency_critical:
            latency_ms = view.measurements.get(task.name, -1.0)
            if 0 < latency_ms < math.inf:
                highest[task.stage] = max(highest.get(task.stage, 0.0), latency_ms)
        worker.excess = {
            served: (1 - EXCESS_WEIGHT) * value
            for served, value in worker.excess.items()
            if served in view.usage.served_images
        }
        for stage, latency_ms in highest.items():
            served = stage.spec.served_image
            self._stages[stage] = now
            self._model.ensure_image(served, now)
            excess = self._model.record_latency(view.agent, stage, served, latency_ms, now)
            known = worker.excess.get(served, 0.0)
            worker.excess[served] = known + EXCESS_WEIGHT * excess

    def _choose_cpu_shares(self, view: fleet.AgentView, worker: workers.Worker, now: float) -> None:
        usage = view.usage
        if not usage.latency_critical or not usage.best_effort:
            worker.over_target_since = None
            return
        latency_ratios = workers.measure_latency_ratios(view)
        highest = max(latency_ratios.values(), default=0.0)
        previous = {image: self._get_cpu_share(view, image) for image in usage.best_effort_by_image}
        self._log_over_target(view, worker, latency_ratios, now)
        chosen = self._compute_cpu_shares(view, worker, now)
        seconds_over_target = self._measure_over_target(worker, highest, now)
        is_late = now - worker.lowered_at >= LOWER_INTERVAL_SECONDS
        for image, share in chosen.items():
            known = previous[image]
            limit = OVER_TARGET_SECONDS if share < 100 else ALL_OVER_TARGET_SECONDS
            if seconds_over_target >= limit:
                share = 0
            elif highest > OVER_TARGET_ABOVE and share < 100:
                share = min(share, known // 2 if is_late else known)
            elif image in worker.last_resort and highest <= NEAR_TARGET_ABOVE:
                share = max(share, LAST_RESORT_CPU_SHARE)
            chosen[image] = cpu_shares.limit_change(known, share)
        if chosen != previous:
            if any(share < previous[image] for image, share in chosen.items()):
                worker.lowered_at = now
            self._log_cpu_shares(view, latency_ratios, chosen)
        worker.cpu_shares |= chosen

    def _compute_cpu_shares(
        self, view: fleet.AgentView, worker: workers.Worker, now: float
    ) -> dict[str, int]:
        """Return the CPU shares with which all latencies are predicted to be within limits."""
        targets = self._list_targets_with_slack(view, worker, now)
        return cpu_shares.divide(
            targets,
            {
                image: [
                    self._model.estimate(target.image, image).upper
                    * workers.compute_image_units(view, image)
                    for target in targets
                ]
                for image in view.usage.best_effort_by_image
            },
        )

    def _list_targets_with_slack(
        self, view: fleet.AgentView, worker: workers.Worker, now: float
    ) -> list[cpu_shares.Target]:
        targets = []
        for stage, served in workers.list_targets(view):
            load = self._model.get_load(stage).predict(now)
            slack = self._model.compute_slack(served, PREDICTED_LIMIT, load)
            excess = max(worker.excess.get(served, 0.0), 0.0)
            targets.append(cpu_shares.Target(served, slack, excess))
        return targets

    def _measure_over_target(self, worker: workers.Worker, highest: float, now: float) -> float:
        """Return for how long a latency on the worker has been over target, in seconds."""
        if highest <= OVER_TARGET_ABOVE:
            worker.over_target_since = None
        elif worker.over_target_since is None:
            worker.over_target_since = now
        return 0.0 if worker.over_target_since is None else now - worker.over_target_since

    def _log_over_target(
        self,
        view: fleet.AgentView,
        worker: workers.Worker,
        latency_ratios: dict[model.ServedImage, float],
        now: float,
    ) -> None:
        stages = {served: stage for stage, served in workers.list_targets(view)}
        exposure = self._measure_exposure(view)
        for served, latency_ratio in latency_ratios.items():
            load = self._model.get_load(stages[served]).get_current()
            reflected = self._model.get_average_exposure(view.agent)
            estimates = {n: self._model.estimate(served, n) for n, x in exposure.items() if x}
            situation = over_target.Situation(
                latency_ratio,
                load,
                self._model.predict_ms(served, load, exposure) / served.target_ms,
                self._model.predict_ms(served, load, reflected) / served.target_ms,
                any(exposure.values()),
                any(not estimate.is_tested for estimate in estimates.values()),
                any(n in worker.last_resort and x for n, x in exposure.items()),
            )
            cause = worker.causes.find(served, situation, now)
            if cause is not None:
                fields = {
                    "agent": view.agent,
                    "image": served.label,
                    "pressure": round(latency_ratio, 2),
                    "expected": round(situation.predicted_ratio, 2),
                    "load": round(load, 2),
                    "units": {n: round(x, 2) for n, x in exposure.items()},
                }
                self._logged.append(effects.LogChange(cause.value, fields))

    def _log_cpu_shares(
        self,
        view: fleet.AgentView,
        latency_ratios: dict[model.ServedImage, float],
        shares: dict[str, int],
    ) -> None:
        rounded = {served.label: round(value, 2) for served, value in latency_ratios.items()}
        fields = {"agent": view.agent, "pressures": rounded, "paces": shares}
        self._logged.append(effects.LogChange("paces_chosen", fields))

    def _measure_exposure(self, view: fleet.AgentView) -> dict[str, float]:
        """Return the exposure to each best-effort image at its present CPU share."""
        return {
            image: workers.compute_image_units(view, image) * self._get_cpu_share(view, image) / 100
            for image in view.usage.best_effort_by_image
        }

    def _set_cpu_shares(self, view: fleet.AgentView, worker: workers.Worker, now: float) -> None:
        self._drop_unused(view, worker)
        self._throttle_adopted(view, worker)
        shares: dict[model.RunKey, int] = {}
        for run in view.usage.best_effort:
            share = self._get_cpu_share(view, run.task.stage.spec.image)
            if share < 100:
                run.is_comparable = False
                shares[(run.task_name, run.run)] = share
        known = worker.paused_since
        worker.paused_since = {
            key: known.get(key, now)
            for key, share in shares.items()
            if share <= MAX_MOVED_CPU_SHARE
        }
        if shares != view.cpu_shares:
            view.cpu_shares = shares
            view.has_updates = True
        if view.worker is not None:
            self._model.record_exposure(view.agent, self._measure_exposure(view), now)

    def _throttle_adopted(self, view: fleet.AgentView, worker: workers.Worker) -> None:
        """Pause runs of an earlier owner, except images expected to keep latencies within limits.

        Whether the earlier owner had throttled these runs is unknown.
        """
        if not view.usage.latency_critical:
            return
        images = {run.task.stage.spec.image for run in view.usage.best_effort if run.is_adopted}
        adopted = [image for image in sorted(images) if image not in worker.cpu_shares]
        worker.cpu_shares |= dict.fromkeys(adopted, 0)
        for image in adopted:
            worker.cpu_shares[image] = 100
            if self.predict_latency_ratio(view) >= PREDICTED_LIMIT:
                worker.cpu_shares[image] = 0

    def _drop_unused(self, view: fleet.AgentView, worker: workers.Worker) -> None:
        """Drop shares of images with no best-effort run; all without a latency-critical task."""
        used = view.usage.best_effort_by_image if view.usage.latency_critical else {}
        worker.cpu_shares = {i: share for i, share in worker.cpu_shares.items() if i in used}
        worker.last_resort &= used.keys()
