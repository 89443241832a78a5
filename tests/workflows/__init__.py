"""Tests of crocusrudder.workflows."""

from tests.support import strict_steps

strict_steps.install()
