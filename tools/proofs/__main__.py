"""Run the proofs: ``python -m tools.proofs``.

For each mechanism, copy the repository, disable the mechanism in the copy and run its tests there.
The proof passes if at least one of the tests fails.
"""

import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import click
import msgspec

from tools.proofs import mechanisms

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COPIED_FOLDERS = ("crocusrudder", "tests", "tools")
TEST_LIMIT_SECONDS = 300
_ERROR = re.compile(r"^(?:\w+\.)*(?:\w*Error|AssertionError).*$", re.MULTILINE)


class Verdict(msgspec.Struct):
    """Results of the tests of one mechanism while it was disabled."""

    point: str
    title: str
    failing_tests: tuple[str, ...]
    passing_tests: tuple[str, ...]
    error: str


def find_missing() -> list[str]:
    """Describe the mechanisms whose ``before`` does not occur exactly once in their file."""
    return [
        f"{each.file}: code does not occur exactly once: {each.before!r}"
        for each in mechanisms.MECHANISMS
        if (ROOT / each.file).read_text(encoding="utf-8").count(each.before) != 1
    ]


def copy_without_mechanism(mechanism: mechanisms.Mechanism, folder: pathlib.Path) -> None:
    """Copy the repository into a folder and disable the mechanism in the copy."""
    for name in COPIED_FOLDERS:
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / mechanism.file
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace(mechanism.before, mechanism.after), encoding="utf-8")


def run_test(test: str, folder: pathlib.Path) -> tuple[bool, str]:
    """Run a test in a folder; return whether it passes and the last line that names an error.

    Raise `ClickException` if the test does not exist.
    """
    try:
        done = subprocess.run(
            [sys.executable, "-m", "unittest", test],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_LIMIT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return False, "timeout"
    if "No module named 'tests" in done.stderr or "has no attribute 'test_" in done.stderr:
        raise click.ClickException(f"test not found: {test}")
    errors = _ERROR.findall(done.stderr)
    return done.returncode == 0, errors[-1][:150] if errors else ""


def verify(mechanism: mechanisms.Mechanism) -> Verdict:
    """Run the tests of a mechanism in a copy in which it is disabled."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        copy_without_mechanism(mechanism, folder)
        results = {test: run_test(test, folder) for test in mechanism.tests}
    failing_tests = tuple(test for test, (passed, _) in results.items() if not passed)
    passing_tests = tuple(test for test, (passed, _) in results.items() if passed)
    error = next((error for passed, error in results.values() if not passed), "")
    return Verdict(mechanism.point, mechanism.title, failing_tests, passing_tests, error)


@click.command()
@click.option(
    "--point", "points", multiple=True, help="Check only this point, e.g. I2; repeatable."
)
@click.option("--processes", default=3, show_default=True)
def main(points: tuple[str, ...], processes: int) -> None:
    """Disable each mechanism in a copy and check that its tests fail."""
    missing = find_missing()
    if missing:
        raise click.ClickException("\n".join(missing))
    chosen = [each for each in mechanisms.MECHANISMS if not points or each.point in points]
    with concurrent.futures.ThreadPoolExecutor(processes) as pool:
        verdicts = list(pool.map(verify, chosen))
    for verdict in verdicts:
        click.echo(
            f"{'ok' if verdict.failing_tests else 'UNDETECTED':12}{verdict.point}: {verdict.title}"
        )
        for test in verdict.failing_tests:
            click.echo(f"            fails: {test}")
        for test in verdict.passing_tests:
            click.echo(f"            passes: {test}")
        click.echo(f"            error: {verdict.error}")
    undetected = sum(not verdict.failing_tests for verdict in verdicts)
    click.echo(f"{len(verdicts) - undetected} passed, {undetected} failed")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
