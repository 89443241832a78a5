"""Benchmarks of the cost of each role per unit of load, for ``docs/CAPACITY.md``.

Each module is a command, ``python -m benchmarks.<name>``. Benchmarks are not tests: they
measure processor time and bytes on the current machine and neither pass nor fail.
"""
