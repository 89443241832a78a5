"""Signals that arrive while a process ends."""

import subprocess
import sys
import unittest

SCRIPT = """
import os, signal
from crocusrudder.hosting import signals

signals.SignalWatcher((signal.{name},))


class LateSignal:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.{name}):
        kill(process, number)


# Deleted with the module, after the interpreter has restored the default actions of signals.
late = LateSignal()
"""


class LateSignalTest(unittest.TestCase):
    def test_a_signal_during_the_exit_does_not_change_the_exit_code(self):
        # Guards against an agent that is killed by SIGHUP after it has stopped (soak seed 7302).
        for name in ("SIGHUP", "SIGTERM"):
            with self.subTest(name=name):
                code = subprocess.run([sys.executable, "-c", SCRIPT.format(name=name)]).returncode
                self.assertEqual(0, code)


if __name__ == "__main__":
    unittest.main()
