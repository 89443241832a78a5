"""Run the proofs: ``python -m tools.proofs``.

Copies the repository for each mechanism, switches the mechanism off in the copy and runs its
tests. Passes if at least one of them fails.
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
COPIED = ("crocusrudder", "tests", "tools")
TEST_LIMIT_SECONDS = 300
_ERROR = re.compile(r"^(?:\w+\.)*(?:\w*Error|AssertionError).*$", re.MULTILINE)


class Verdict(msgspec.Struct):
    """What the tests of one mechanism showed without it."""

    point: str
    title: str
    noticed: tuple[str, ...]
    silent: tuple[str, ...]
    seen: str


def find_missing() -> list[str]:
    """Return the mechanisms whose code is not found exactly once."""
    return [
        f"{each.file}: not found once: {each.before!r}"
        for each in mechanisms.MECHANISMS
        if (ROOT / each.file).read_text(encoding="utf-8").count(each.before) != 1
    ]


def copy_without(mechanism: mechanisms.Mechanism, folder: pathlib.Path) -> None:
    """Copy the repository into a folder with the mechanism switched off."""
    for name in COPIED:
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / mechanism.file
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace(mechanism.before, mechanism.after), encoding="utf-8")


def run_test(test: str, folder: pathlib.Path) -> tuple[bool, str]:
    """Run a test in a folder; return whether it passes, and its first error."""
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
        raise click.ClickException(f"there is no test {test}")
    errors = _ERROR.findall(done.stderr)
    return done.returncode == 0, errors[-1][:150] if errors else ""


def examine(mechanism: mechanisms.Mechanism) -> Verdict:
    """Run the tests of a mechanism without it."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        copy_without(mechanism, folder)
        results = {test: run_test(test, folder) for test in mechanism.tests}
    noticed = tuple(test for test, (passed, _) in results.items() if not passed)
    silent = tuple(test for test, (passed, _) in results.items() if passed)
    seen = next((error for passed, error in results.values() if not passed), "")
    return Verdict(mechanism.point, mechanism.title, noticed, silent, seen)


@click.command()
@click.option("--point", "points", multiple=True, help="Only this point, e.g. I2; repeatable.")
@click.option("--processes", default=3, show_default=True)
def main(points: tuple[str, ...], processes: int) -> None:
    """Switch each mechanism off in a copy and check that its tests notice."""
    missing = find_missing()
    if missing:
        raise click.ClickException("\n".join(missing))
    chosen = [each for each in mechanisms.MECHANISMS if not points or each.point in points]
    with concurrent.futures.ThreadPoolExecutor(processes) as pool:
        verdicts = list(pool.map(examine, chosen))
    for verdict in verdicts:
        click.echo(
            f"{'ok' if verdict.noticed else 'NOT NOTICED':12}{verdict.point}: {verdict.title}"
        )
        for test in verdict.noticed:
            click.echo(f"            fails: {test}")
        for test in verdict.silent:
            click.echo(f"            passes: {test}")
        click.echo(f"            seen: {verdict.seen}")
    missed = sum(not verdict.noticed for verdict in verdicts)
    click.echo(f"{len(verdicts) - missed} passed, {missed} failed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
