"""Inject faults into copies of the libraries, and check that tests detect them.

Run by ``make prove-oracle``. A fault is injected into a copy of its library,
which precedes the installed one on the path; the repository is not changed.
Exits with 1 if a fault is not detected or its text is not found.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import copytree, ignore_patterns
from tempfile import TemporaryDirectory

from faults import FAULTS, Fault

ROOT = Path(__file__).resolve().parents[2]
MAX_WORKERS = 4
RUN_TIMEOUT_S = 300
INJECTION_ERRORS = re.compile(r"^E\s+(ImportError|NameError|SyntaxError)", re.M)
FAILURE_LINE = re.compile(r"^(FAILED|E  )", re.M)
ASSERTION_MESSAGE = re.compile(r"AssertionError: (.*)")


def run_tests(test: str, sources: list[Path]) -> tuple[bool, str]:
    """Run tests against source trees; return whether they passed, and the output."""
    environment = dict(os.environ)
    environment["PYTHONPATH"] = os.pathsep.join(map(str, sources))
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", test]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False, "the test timed out"
    return done.returncode == 0, done.stdout + done.stderr


def inject(fault: Fault, pristine: Path, copy: Path) -> Path | None:
    """Inject a fault into a copy of its library; None if a text is not found."""
    for edit in fault.edits:
        library, module = edit.path.split("/")
        source = copy / library
        if not source.exists():
            copytree(pristine / library, source)
        path = source / "berylwalk" / library / f"{module}.py"
        text = path.read_text()
        if text.count(edit.old) != 1:
            return None
        path.write_text(text.replace(edit.old, edit.new))
    return copy


def evaluate(fault: Fault, pristine: Path) -> str:
    """Return the result of testing a fault, in one line."""
    with TemporaryDirectory() as scratch:
        copy = inject(fault, pristine, Path(scratch))
        if copy is None:
            return "TEXT NOT FOUND"
        sources = [*sorted(copy.iterdir()), *sorted(pristine.iterdir())]
        passed, output = run_tests(fault.test, sources)
    if passed:
        return "MISSED"
    if INJECTION_ERRORS.search(output):
        return "MISSED: the injected code does not run"
    if not FAILURE_LINE.search(output) or not re.search(fault.expected_message, output):
        return f"MISSED: {fault.test} failed otherwise: {_first_message(output)}"
    return (
        f"caught by {Path(fault.test).name.split('.py')[0]}: {_first_message(output)}"
    )


def _first_message(output: str) -> str:
    found = ASSERTION_MESSAGE.search(output)
    return found.group(1).strip() if found else "no assertion message"


def check_unchanged(faults: list[Fault], pristine: Path) -> list[str]:
    """Return the tests that fail without an injected fault."""
    sources = sorted(pristine.iterdir())
    tests = sorted({fault.test for fault in faults})
    with ThreadPoolExecutor(MAX_WORKERS) as pool:
        results = pool.map(lambda test: run_tests(test, sources), tests)
    return [
        test for test, (passed, _) in zip(tests, results, strict=True) if not passed
    ]


def main(names: list[str]) -> int:
    """Test the faults whose names contain any of the given texts, or all faults."""
    chosen = [f for f in FAULTS if not names or any(n in f.name for n in names)]
    with TemporaryDirectory() as scratch:
        pristine = Path(scratch)
        for source in sorted((ROOT / "libs").glob("*/src")):
            unwanted = ignore_patterns("__pycache__")
            copytree(source, pristine / source.parent.name, ignore=unwanted)
        failing = check_unchanged(chosen, pristine)
        if failing:
            print("tests that fail without an injected fault:", *failing)
            return 1
        missed = 0
        with ThreadPoolExecutor(MAX_WORKERS) as pool:
            verdicts = pool.map(lambda fault: evaluate(fault, pristine), chosen)
            for fault, verdict in zip(chosen, verdicts, strict=True):
                print(f"{fault.guarantee}: {fault.name}: {verdict}", flush=True)
                missed += not verdict.startswith("caught")
    print(f"{len(chosen)} faults, {missed} not caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
