"""Fuzz tests with fixed seeds of the documents that other programs write.

Each play puts odd values into valid documents. Decoders may raise their layer's own errors only,
the valid parts beside the odd ones must hold, and what is accepted must not fail later. More seeds
by hand: ``python -m tests.workflows.test_odd_input SEEDS``; 3,000 take about 40 s.
"""

import random
import sys
import unittest
from collections.abc import Callable
from unittest import mock

import curio

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.observability import logs
from crocusrudder.platform import errors
from crocusrudder.platform import operator
from crocusrudder.platform import store
from crocusrudder.platform import worker
from crocusrudder.wire import codec
from crocusrudder.wire import errors as wire_errors
from crocusrudder.wire import messages
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import errors as workflow_errors
from crocusrudder.workflows import job_progress
from crocusrudder.workflows import model
from crocusrudder.workflows import rows
from tests.platform import oddities
from tests.platform import test_messages
from tests.workflows import world

SEEDS = 150
SENDER = codec.Sender(ids.ProcessId("a"), ids.Incarnation("1"), "127.0.0.1:1")
ODD = (*oddities.ODD_JSON, *oddities.ODD_NUMBERS, b"-1", b"-9223372036854775809", b'"\\u0000"')
STAGE_FIELDS = ("taskCount", "cpu", "memMb", "gpu", "estRuntimeMs", "after", "gang", "sameRack")
STAGE_FIELDS += ("requires", "dataRack", "antiAffinity", "longRunning", "image", "targetMs")
STAGE_FIELDS += ("fills", "mayMiss", "checkpoint", "speculative")


def choose_odd(rng: random.Random) -> bytes:
    """Return an odd value, seldom one of the large ones, which take most of the time."""
    odd = rng.choice(ODD)
    return odd if len(odd) < 10_000 or rng.random() < 0.1 else b"null"


def mix(rng: random.Random, valid: list[bytes]) -> bytes:
    """Return an array of valid items with odd ones and spoiled copies between them."""
    items = list(valid)
    for _ in range(rng.randrange(4)):
        parts = rng.choice(valid)[1:-1].split(b",")
        number = rng.randrange(len(parts))
        name, colon, _ = parts[number].rpartition(b":")
        parts[number] = name + colon + choose_odd(rng)
        spoiled = valid[0][:1] + b",".join(parts) + valid[0][-1:]
        items.insert(rng.randrange(len(items) + 1), rng.choice((spoiled, choose_odd(rng))))
    return b"[" + b",".join(items) + b"]"


def flip(rng: random.Random, data: bytes) -> bytes:
    """Return the data with some bytes replaced, inserted or removed."""
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 5)):
        start = rng.randrange(len(changed) + 1)
        changed[start : start + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
    return bytes(changed)


def poll(body: bytes) -> worker.RunList:
    client = worker.WorkerClient("127.0.0.1:9")
    client._http = test_messages.FakeHttp(effects.EndpointResponse(200, (), body))
    return curio.run(client.poll_runs(("w1", 0), 1, 57, None, 0.0))


def play_list(seed: int) -> None:
    """Read a worker's list with odd entries."""
    rng = random.Random(seed)
    names = [f"ok{number}.0.0.0" for number in range(3)]
    running = mix(rng, [b'["%b",%d,"",7,1]' % (name.encode(), 1) for name in names])
    numbers = [58, 59, 60]
    ended = mix(rng, [b'[%d,"%b",1,"done",""]' % (n, b"j.0.0.0") for n in numbers])
    body = b'{"clockMs":5,"running":%b,"ended":%b}' % (running, ended)
    listed = poll(body)
    assert set(names) <= {entry.task for entry in listed.running}
    assert set(numbers) <= {entry.number for entry in listed.ended}
    assert max(entry.number for entry in listed.ended) <= 60 + worker.MAX_END_GAP
    try:
        poll(flip(rng, body))
    except errors.PlatformError:
        return


def play_page(seed: int) -> None:
    """Read a page of the store with odd rows."""
    rng = random.Random(seed)
    keys = ["ok0", "ok1", "ok2"]
    items = mix(rng, [b'{"key":"%b","value":"Ylk=","ver":%d}' % (k.encode(), 3) for k in keys])
    body = b'{"rows":%b,"ver":9}' % items
    for data in (body, flip(rng, body)):
        http = test_messages.FakeHttp(effects.EndpointResponse(200, (), data))
        try:
            page = curio.run(store.StoreClient("127.0.0.1:9", http).watch("t", 1, 0.0))
        except errors.PlatformError:
            assert data is not body
            continue
        if data is body:
            assert set(keys) <= {row.key for row in page.rows if row.value == b"bY"}


def play_submission(seed: int) -> None:
    """Submit a job with odd fields, and run it if it is accepted."""
    rng = random.Random(seed)
    fields = {name: choose_odd(rng) for name in rng.sample(STAGE_FIELDS, rng.randrange(3))}
    stage = b",".join(
        b'"%b":%b' % (n.encode(), v) for n, v in ({"taskCount": b"2"} | fields).items()
    )
    outer = b'"%b":%b' % (rng.choice((b"maxRuns", b"startAtMs", b"spec", b"x")), choose_odd(rng))
    body = b'{"spec":"s","steps":[{%b}],%b}' % (stage, outer)
    job = ids.JobId(f"{seed:016x}")
    try:
        decoded = operator.decode_job(job, world.QUEUE, body, world.WALL_TIME_OFFSET)
    except errors.MalformedInputError:
        return
    assert rows.decode_job(rows.encode(decoded), job) == decoded
    if sum(stage.task_count for stage in decoded.stages) < 100:
        system = world.World()
        system.owner.add_job(decoded, 10)
        system.submit("ok", model.Stage(1, messages.Resources(1_000, 100, 0)))
        system.run(3.0)
        assert system.get_state("ok") is model.JobState.COMPLETED


def play_rows(seed: int) -> None:
    """Decode rows with replaced bytes, and run the jobs that can still be decoded."""
    rng = random.Random(seed)
    stages = (model.Stage(2, messages.Resources(1_000, 100, 0)), model.Stage(1, after=(0,)))
    job = model.Job(ids.JobId("j"), world.QUEUE, "s", stages, 1.0)
    progress = model.Progress(model.JobState.RUNNING, {"0.0": b"\x01"}, {"0.0.1": (7,)})
    owner = rows.OwnerRow(model.OwnerEpoch(3), ids.ProcessId("e"), "h:1", 4, lost={"a": 1.0})
    found = []
    for decode, value in (
        (lambda value: rows.decode_job(value, job.job_id), rows.encode(job)),
        (
            lambda value: job_progress.decode(found[0] or job, {job_progress.MAIN_ROW: value}),
            rows.encode(progress),
        ),
        (
            lambda value: job_progress.decode(found[0] or job, {0: value}),
            rows.encode_progress_part(progress, ["0.0.1"]),
        ),
        (lambda value: rows.decode_owner(value, 10), rows.encode(owner)),
        (
            rows.decode_estimates,
            rows.encode(rows.InterferenceEstimates({}, {"q": (1.0, 2.0, 3.0)})),
        ),
        (rows.decode_address, b"127.0.0.1:80"),
        (rows.decode_cores, b"2.000"),
    ):
        try:
            found.append(decode(flip(rng, value)))
        except workflow_errors.UnreadableRowError:
            found.append(None)
    if found[0] and sum(stage.task_count for stage in found[0].stages) < 100:
        system = world.World()
        system.owner.add_job(found[0], 10, found[1] or found[2])
        system.run(1.0)


def play_message(seed: int) -> None:
    """Decode messages with replaced bytes, and apply reports that can still be decoded."""
    rng = random.Random(seed)
    state = world.FakeWorker("w-a0", 1_000).state
    running = (workflow_messages.RunningTask("j.0.0.0", 7, "", 3),)
    ended = (workflow_messages.EndedRun(1, "j.0.0.1", 7, "done"),)
    report = workflow_messages.AgentReport(
        ids.DataCentre("z"), 101.0, 1, 0, state, True, False, running, (("j.0.0.2", 7),), ended
    )
    orders = workflow_messages.AgentOrders(1, 1, 101.0, ids.WorkerId("w-a0"), 1_000, running[:0])
    for message in (report, orders, workflow_messages.OwnerHello(1, {"q": 1})):
        data = SENDER.encode(message)
        try:
            codec.decode(flip(rng, data), ids.Incarnation(""))
        except wire_errors.WireError:
            continue


def play_configuration(seed: int) -> None:
    """Decode a configuration with odd values."""
    rng = random.Random(seed)
    route = b'{"name":"q","host":"h","service":"s","pathPrefix":"/q/","prio":1,"sloMs":5}'
    body = b'{"version":%b,"routes":%b}' % (rng.choice((b"7", choose_odd(rng))), mix(rng, [route]))
    try:
        operator.decode_configuration(body)
    except errors.MalformedInputError:
        return


PLAYS: tuple[Callable[[int], None], ...] = (
    play_list,
    play_page,
    play_submission,
    play_rows,
    play_message,
    play_configuration,
)


class OddInputTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(logs, "write_change")
        patch.start()
        self.addCleanup(patch.stop)

    def test_odd_input_is_refused_alone(self):
        # Guards against an unexpected error in the task that reads a document, which would end it,
        # and against valid parts that are lost beside an odd one.
        for play in PLAYS:
            for seed in range(SEEDS):
                with self.subTest(play=play.__name__, seed=seed):
                    play(seed)


if __name__ == "__main__":
    logs.write_change = lambda *_: None
    for play in PLAYS:
        for seed in range(int(sys.argv[1])):
            try:
                play(seed)
            except Exception as error:
                print(play.__name__, seed, repr(error)[:300])
