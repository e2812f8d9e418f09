"""Number of steps that each fuzz test has run."""

from collections import Counter

STEPS_BY_TEST: Counter[str] = Counter()
