"""Terminal summary with the number of steps of each fuzz test."""

from step_counts import STEPS_BY_TEST


def pytest_terminal_summary(terminalreporter):
    """Print the number of steps of each test."""
    for test, steps in sorted(STEPS_BY_TEST.items()):
        terminalreporter.write_line(f"{test}: {steps} steps")
