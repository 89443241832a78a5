"""Tests of which incarnation of a worker an agent follows, and of what else heartbeats change."""

import random
import unittest

import msgspec

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import agent_state
from crocusrudder.workflows import model
from crocusrudder.workflows import worker_identity
from tests.workflows import test_agent_state
from tests.workflows import world

FAR_FUTURE_MS = 2**62
INTERVAL = 1.1
"""Interval of heartbeats, as on the users' platform."""
HISTORIES = 150
STEPS = 60
ONE_CORE = messages.Resources(1_000, 100, 0)


def make_odd(worker: workflow_messages.WorkerState) -> workflow_messages.WorkerState:
    """Return what another writer sends: a worker that does not exist, born in the far future."""
    return msgspec.structs.replace(worker, worker=ids.WorkerId("odd"), born_ms=FAR_FUTURE_MS)


class OddHeartbeatTest(unittest.TestCase):
    """Two workers with an owner, and a heartbeat of a worker that does not exist."""

    def setUp(self):
        self.system = world.World(agents=2)
        for agent in self.system.agents.values():
            agent.worker.duration = 60.0
        self.system.run(1.0)

    def _send_odd(self, agent: world.FakeAgent) -> None:
        agent.state.handle_heartbeat(make_odd(agent.worker.state), 1, self.system.now)

    def _count_held(self) -> int:
        return sum(len(agent.worker.running) for agent in self.system.agents.values())

    def test_a_run_of_a_cancelled_job_is_stopped_after_a_heartbeat_of_another_worker(self):
        # Guards against UNASKED: the agent followed a worker that does not exist, the stop for the
        # real one was void, and the run went on until its lease ended.
        self.system.submit("j1", model.Stage(2, ONE_CORE))
        self.system.run(1.0)
        for agent in self.system.agents.values():
            self._send_odd(agent)
        self.system.run(0.3)
        wall_time = world.WALL_TIME_OFFSET + self.system.now
        self.system.owner.apply_cancellation("j1", wall_time)
        self.system.run(1.0)
        self.assertEqual(0, self._count_held())

    def test_a_free_worker_gets_starts_after_a_heartbeat_of_another_worker(self):
        # Guards against LOST: nothing was started on a free worker, for good.
        for agent in self.system.agents.values():
            self._send_odd(agent)
        self.system.run(1.0)
        self.system.submit("j1", model.Stage(1, ONE_CORE))
        self.system.run(2.0)
        self.assertEqual(1, self.system.count_starts("j1.0.0.0"))

    def test_a_heartbeat_of_another_worker_starts_no_second_run_of_a_task(self):
        # Guards against TWICE: the owner released the runs of a worker that was not replaced.
        self.system.submit("j1", model.Stage(1, ONE_CORE))
        self.system.run(1.0)
        for agent in self.system.agents.values():
            if agent.worker.running:
                self._send_odd(agent)
        for _ in range(30):
            self.system.step()
            self.assertLessEqual(self._count_held(), 1, "two runs of one task")
        self.assertEqual(1, self.system.count_starts("j1.0.0.0"))

    def test_a_new_agent_process_reports_no_worker_before_the_worker_has_answered(self):
        # Guards against TWICE: the owner knew the worker and released its runs, because the first
        # heartbeat at the agent's next process named one that does not exist.
        self.system.submit("j1", model.Stage(1, ONE_CORE))
        self.system.run(1.0)
        agent = next(agent for agent in self.system.agents.values() if agent.worker.running)
        agent.state = agent_state.AgentState(6.0, self.system.now)
        self.system.owner.handle_agent_start(agent.process, f"{agent.process}:1")
        self._send_odd(agent)
        report = agent.state.make_report(ids.DataCentre("z"), self.system.now)
        self.assertIsNone(report.worker)
        for _ in range(30):
            self.system.step()
            self.assertLessEqual(self._count_held(), 1, "two runs of one task")
        self.assertEqual(1, self.system.count_starts("j1.0.0.0"))


class WorkerIdentityTest(unittest.TestCase):
    """An agent that follows the worker ``w1``, born at 5 ms."""

    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        self.worker = test_agent_state.make_worker()
        world.follow_worker(self.state, self.worker, 1, 100.0)

    def _answer(self, incarnation, born_ms: int, at: float = 100.2) -> bool:
        return self.state.record_probe_answer(incarnation, born_ms, at)

    def test_a_worker_that_restarts_with_an_earlier_time_of_birth_is_followed(self):
        # Guards against a free worker without starts after its clock has jumped back.
        for worker in (
            test_agent_state.make_worker(born_ms=3),
            test_agent_state.make_worker("w2", 2),
        ):
            self.assertTrue(world.follow_worker(self.state, worker, 1, 100.1))
            self.assertEqual(worker, self.state.current_worker)

    def test_a_heartbeat_with_the_workers_id_and_another_time_of_birth_is_refused(self):
        odd = test_agent_state.make_worker(born_ms=FAR_FUTURE_MS)
        self.state.handle_heartbeat(odd, 1, 100.1)
        self.assertFalse(self._answer(odd.incarnation, self.worker.born_ms))
        self.assertEqual(self.worker, self.state.current_worker)
        self.assertEqual({"refused_by_worker": 1}, self.state.identity.describe()["ignored"])

    def test_a_heartbeat_without_a_time_of_birth_does_not_replace_a_worker_that_states_its_own(
        self,
    ):
        odd = test_agent_state.make_worker(born_ms=0)
        self.state.handle_heartbeat(odd, 1, 100.1)
        self.assertFalse(self._answer(odd.incarnation, self.worker.born_ms))

    def test_without_a_time_of_birth_in_responses_the_later_incarnation_is_followed(self):
        later, earlier = (test_agent_state.make_worker(born_ms=born) for born in (9, 3))
        self.state.handle_heartbeat(later, 1, 100.1)
        self.assertTrue(self._answer(later.incarnation, 0))
        self.state.handle_heartbeat(earlier, 9, 100.2)
        self.assertFalse(self._answer(earlier.incarnation, 0))

    def test_a_worker_without_any_time_of_birth_is_not_replaced_by_one_with_its_id(self):
        # Guards against TWICE: the owner released the runs of a worker that had not restarted.
        plain = test_agent_state.make_worker("w2", 0)
        self.state.handle_heartbeat(plain, 1, 100.1)
        self._answer(plain.incarnation, 0, 100.1)
        odd = test_agent_state.make_worker("w2", FAR_FUTURE_MS)
        self.state.handle_heartbeat(odd, 1, 100.2)
        self.assertFalse(self._answer(odd.incarnation, 0))
        self.assertEqual(plain, self.state.current_worker)

    def test_without_a_time_of_birth_in_responses_a_silent_incarnation_gives_way(self):
        # Guards against a time of birth of another writer that no restart ever exceeds.
        odd = test_agent_state.make_worker(born_ms=FAR_FUTURE_MS)
        self.state.handle_heartbeat(odd, 1, 100.1)
        self._answer(odd.incarnation, 0, 100.1)
        at = 100.1 + worker_identity.FOLLOWED_SILENCE_SECONDS
        self.state.handle_heartbeat(self.worker, 4, at)
        self.assertTrue(self._answer(self.worker.incarnation, 0, at))

    def test_a_probe_without_a_response_is_repeated_and_changes_nothing(self):
        other = test_agent_state.make_worker("w2", 9)
        self.state.handle_heartbeat(other, 1, 101.0)
        identity = self.state.identity
        self.assertEqual(other, identity.find_probe(101.0))
        identity.record_probe_failure(other.incarnation, 101.0)
        self.assertIsNone(identity.find_probe(101.0))
        self.assertEqual(other, identity.find_probe(101.0 + worker_identity.PROBE_RETRY_SECONDS))
        after = 101.1 + worker_identity.CANDIDATE_SECONDS
        self.assertIsNone(identity.find_probe(after))
        self.assertIsNone(identity.get_probe_delay(after))
        self.assertEqual(self.worker, self.state.current_worker)

    def test_a_worker_that_stays_unconfirmed_is_logged_again_and_again(self):
        # Guards against a worker that gets no starts without a line that tells why.
        identity = self.state.identity
        other = test_agent_state.make_worker("w2", 9)
        for number in range(30):
            at = 101.0 + number * INTERVAL
            self.state.handle_heartbeat(other, number, at)
            identity.record_probe_failure(other.incarnation, at)
        lines = [each for each in identity.drain_effects() if isinstance(each, effects.LogChange)]
        self.assertEqual(3, len(lines))
        self.assertEqual({"unconfirmed": 29}, identity.describe()["ignored"])

    def test_an_unconfirmed_incarnation_leaves_runs_orders_and_lease_untouched(self):
        self.state.handle_orders(test_agent_state.make_orders(1, 100.0), 100.0)
        self.state.record_response(1_000, 100.0)
        before = self.state.get_lease_end_ms(100.1)
        self.state.record_start_sent(test_agent_state.RUN, 100.0)
        self.state.record_start_result(test_agent_state.RUN, None, 100.0)
        odd = make_odd(self.worker)
        self.state.handle_heartbeat(odd, 1, 100.1)
        self.state.identity.record_probe_refusal(odd.incarnation, 100.1)
        self.assertEqual(before, self.state.get_lease_end_ms(100.1))
        report = self.state.make_report(ids.DataCentre("z"), 100.1)
        self.assertEqual((self.worker, 1), (report.worker, len(report.running)))
        stops = test_agent_state.make_orders(1, 100.1, stops=(test_agent_state.RUN,))
        self.assertEqual(1, len(self.state.handle_orders(stops, 100.1).stops))

    def test_many_candidates_take_bounded_memory_and_the_latest_is_probed_first(self):
        for born in range(1_000, 2_000):
            self.state.handle_heartbeat(test_agent_state.make_worker("odd", born), 1, 100.1)
        described = self.state.identity.describe()
        self.assertEqual(worker_identity.MAX_CANDIDATES, len(described["candidates"]))
        real = test_agent_state.make_worker("w2", 9)
        self.state.handle_heartbeat(real, 1, 100.1)
        self.assertEqual(real, self.state.identity.find_probe(100.1))


class SequenceTest(unittest.TestCase):
    """A worker at its 50th heartbeat, and heartbeats of its incarnation with other numbers."""

    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        self.worker = test_agent_state.make_worker()
        self.draining = msgspec.structs.replace(self.worker, draining=True)
        self.changed = msgspec.structs.replace(self.worker, service=ids.ServiceName("other"))
        world.follow_worker(self.state, self.worker, 50, 100.0)

    def test_a_heartbeat_with_a_huge_number_does_not_make_the_later_ones_late(self):
        # Guards against DRAIN: an agent that ignores all later heartbeats of its worker.
        odd = msgspec.structs.replace(self.worker, service=ids.ServiceName("odd"))
        self.assertFalse(self.state.handle_heartbeat(odd, FAR_FUTURE_MS, 100.5))
        self.assertTrue(self.state.handle_heartbeat(self.draining, 51, 101.1))

    def test_a_wrong_mark_yields_to_several_heartbeats_in_order(self):
        self.state.handle_heartbeat(self.worker, 5_000, 100.5)
        results = [
            self.state.handle_heartbeat(self.changed, 51 + number, 101.0 + number * INTERVAL)
            for number in range(6)
        ]
        self.assertEqual([False] * 5 + [True], results)

    def test_late_heartbeats_do_not_pass_while_newer_ones_arrive(self):
        for number in range(6):
            at = 101.1 + number * INTERVAL
            self.state.handle_heartbeat(self.worker, 51 + number, at)
            self.assertFalse(self.state.handle_heartbeat(self.changed, 40 + number, at))

    def test_a_draining_worker_gets_no_starts_even_if_its_heartbeat_looks_late(self):
        # Guards against DRAIN: the heartbeat is acknowledged, and the mark may be wrong for 6 s.
        self.state.handle_heartbeat(self.worker, 5_000, 100.5)
        self.assertTrue(self.state.handle_heartbeat(self.draining, 51, 101.1))
        self.assertTrue(self.state.current_worker.draining)

    def test_late_heartbeats_do_not_pass_after_one_that_was_lost(self):
        # Guards against an old state of the worker after a short interruption, on a deployment with
        # heartbeats each 1.5 s.
        self.state.handle_heartbeat(self.worker, 51, 101.0)
        for number in range(5):
            self.assertFalse(self.state.handle_heartbeat(self.changed, 40 + number, 104.1))

    def test_a_burst_of_late_heartbeats_does_not_pass(self):
        # Guards against a drained worker that takes starts again after delayed heartbeats.
        self.state.handle_heartbeat(self.draining, 51, 101.0)
        for number in range(5):
            self.assertFalse(self.state.handle_heartbeat(self.worker, 40 + number, 101.5))


class DeregistrationTest(unittest.TestCase):
    """A worker that is signed off at 101 s, and at 110 s does not answer for a while."""

    def setUp(self):
        self.state = agent_state.AgentState(6.0, 100.0)
        self.worker = test_agent_state.make_worker()
        world.follow_worker(self.state, self.worker, 1, 100.0)
        self.state.handle_deregistration("w1", 101.0)

    def _has_left(self) -> bool:
        self.state.record_response(1_000, 110.0)
        at = 110.0 + agent_state.DEREGISTRATION_TIMEOUT_SECONDS
        return self.state.make_report(ids.DataCentre("z"), at).left

    def test_a_worker_that_goes_on_with_heartbeats_has_not_left_when_it_pauses(self):
        # Guards against TWICE: the owner released the runs of a worker that paused for 0.7 s, long
        # after another writer had signed it off.
        for number in (2, 3):
            self.state.handle_heartbeat(self.worker, number, 101.0 + number)
        self.assertFalse(self._has_left())

    def test_one_delayed_heartbeat_does_not_hide_that_a_worker_has_left(self):
        self.state.handle_heartbeat(self.worker, 2, 101.1)
        self.assertTrue(self._has_left())


class Address:
    """The address of one worker, with its incarnations one after the other."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._restarts = 0
        self.born = [1_000_000]
        self.worker = test_agent_state.make_worker("w0", self.born[0])
        self.lived = [self.worker]
        self.sequence = 0

    def restart(self) -> None:
        self._restarts += 1
        name = self._rng.choice((self.worker.worker, f"w{self._restarts}"))
        born_ms = self.worker.born_ms + self._rng.choice((-5_000, 5_000)) + self._restarts
        self.worker = test_agent_state.make_worker(name, born_ms)
        self.lived.append(self.worker)
        self.sequence = 0

    def make_odd(self) -> tuple[workflow_messages.WorkerState, int]:
        """Return the state and number of a heartbeat by another writer."""
        names = [each.worker for each in self.lived] + ["odd-1", "odd-2"]
        born = self._rng.choice((0, 1, self.worker.born_ms, FAR_FUTURE_MS))
        sequence = self._rng.choice((0, self.sequence + 3, 2**40, FAR_FUTURE_MS))
        odd = test_agent_state.make_worker(self._rng.choice(names), born)
        return msgspec.structs.replace(odd, service=ids.ServiceName("odd")), sequence


class HistoryTest(unittest.TestCase):
    """Random orders of heartbeats, restarts, delayed heartbeats and those of other writers."""

    def _play(self, seed: int) -> None:
        rng = random.Random(seed)
        state = agent_state.AgentState(6.0, 100.0)
        address = Address(rng)
        now = 100.0
        for _ in range(STEPS):
            now += rng.random() * INTERVAL
            match rng.choice(("real", "real", "real", "restart", "delayed", "odd", "deregister")):
                case "real":
                    address.sequence += 1
                    state.handle_heartbeat(address.worker, address.sequence, now)
                case "restart":
                    address.restart()
                case "delayed":
                    state.handle_heartbeat(rng.choice(address.lived), rng.randrange(99), now)
                case "odd":
                    state.handle_heartbeat(*address.make_odd(), now)
                case "deregister":
                    state.handle_deregistration(rng.choice(address.lived).worker, now)
            if rng.random() < 0.7:
                world.answer_probes(state, address.worker, now)
            lived = [None, *(worker.incarnation for worker in address.lived)]
            known = state.current_worker
            self.assertIn(known and known.incarnation, lived, f"seed {seed}")
        for _ in range(8):
            now += INTERVAL
            address.sequence += 1
            world.follow_worker(state, address.worker, address.sequence, now)
        self.assertEqual(address.worker, state.current_worker, f"seed {seed}")

    def test_the_agent_follows_the_worker_that_answers_after_any_history(self):
        # Guards against a history after which an agent follows an incarnation that is gone or has
        # never been, for good.
        for seed in range(HISTORIES):
            self._play(seed)


if __name__ == "__main__":
    unittest.main()
