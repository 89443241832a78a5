"""Tests of splitting documents that a decoder refuses."""

import json
import random
import unittest
from unittest import mock

from crocusrudder.platform import errors
from crocusrudder.platform import json_parts

SEED = 32
DEPTH = 1_000_000


class SplitTest(unittest.TestCase):
    def test_the_effort_for_a_nested_value_does_not_grow_with_its_depth(self):
        # Guards against an agent that is blocked for seconds at each poll: another writer's entry
        # was nested so deeply, and each bracket took a step.
        nested = b"[" * DEPTH + b"]" * DEPTH
        tokens = json_parts._TOKEN
        found = []

        def record(text):
            for token in tokens.finditer(text):
                found.append(token)
                yield token

        with mock.patch.object(json_parts, "_TOKEN", mock.Mock(finditer=record)):
            self.assertEqual([b"1", nested], json_parts.split_array(b"[1,%b]" % nested))
        self.assertLess(len(found), 10)

    def test_parts_are_those_that_a_decoder_finds(self):
        # Guards against an entry that is lost or divided since brackets in series count as one.
        generator = random.Random(SEED)
        for _ in range(500):
            items = [_make_value(generator, 5) for _ in range(generator.randrange(4))]
            document = json.dumps(items, indent=generator.choice((None, 1))).encode()
            parts = json_parts.split_array(document)
            self.assertEqual(items, [json.loads(part) for part in parts], document)

    def test_brackets_that_do_not_match_are_refused(self):
        for odd in (b"[[]", b"[]]", b"[]]]", b"[[]]]", b"[1]]", b"[[]],[]", b"[],[]", b"[]{}[]"):
            with self.assertRaises(errors.MalformedInputError, msg=odd):
                json_parts.split_array(odd)


def _make_value(generator: random.Random, depth: int) -> object:
    kind = generator.randrange(6) if depth else 0
    if kind in (1, 2):
        return [_make_value(generator, depth - 1) for _ in range(generator.randrange(3))]
    if kind in (3, 4):
        names = generator.sample(["a", "]", '"{', "\\"], generator.randrange(3))
        return {name: _make_value(generator, depth - 1) for name in names}
    return generator.choice([1, "", "],", '"', "\\", "}{", None])
