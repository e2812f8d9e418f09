"""How long targets of a service take to a first event, learned from their answers.

Load pattern: prompts from a few tokens to tens of thousands meet engines whose speeds
differ several times. A model with constants of one engine put the fixed part of each
answer down to slowness, took long prompts for three times as long as they are, and
passed over targets that would have begun them in time.

The time is a fixed part, a part that grows with the tokens to be read, and one that
grows with the square of the own prompt (attention). The last two scale with the speed
of the target, which shows in its output tokens: those come steadily, also while the
target is full, when the time to a first event tells of waiting only.
"""

from collections.abc import Sequence

TOKEN_SCALE = 3e-3
"""Reading of one prompt token, in output tokens of the same target, before anything
is observed: batched reading is some hundred times faster than writing."""
PAIR_SCALE = 6e-8
"""The same for each pair of tokens of one prompt."""
FIXED_S = 0.03
"""Fixed part before anything is observed, in seconds."""
PRIOR = (FIXED_S, 1.0, 1.0)
"""Coefficients before any observation."""
PRIOR_WEIGHTS = (0.5, 0.002, 0.002)
"""Their weight, which is never forgotten, so that a part on which the observations say
nothing stays where it was. The first counts as half an observation; the others, in
seconds squared, as some prompts of ten thousand tokens."""
FORGETTING = 0.99
"""Factor on the weight of earlier observations: some hundred count."""
RELATIVE_FLOOR_S = 0.05
"""Times are weighted by their inverse, those below this all alike, in seconds."""
SOLVED_EACH = 8
"""Observations between two solutions."""
LEAST_SCALE, MOST_SCALE = 0.1, 10.0
"""Bounds of what is learned, as multiples of the values before any observation."""

Row = list[float]


class FirstEventModel:
    """Fixed time and reading time of a service's targets.

    Attributes
    ----------
    fixed_s : float
        Time to a first event without a prompt, in seconds.
    """

    def __init__(self) -> None:
        self._prior = PRIOR
        self._coefficients = list(PRIOR)
        self._products = [[0.0] * len(PRIOR) for _ in PRIOR]
        self._values = [0.0] * len(PRIOR)
        self._since_solved = 0

    @property
    def fixed_s(self) -> float:
        """Time to a first event without a prompt, in seconds."""
        return self._coefficients[0]

    @property
    def coefficients(self) -> tuple[float, float, float]:
        """Fixed time in seconds, and the scales of reading and of attention."""
        fixed_s, reading, attention = self._coefficients
        return fixed_s, reading, attention

    def adopt(self, coefficients: tuple[float, float, float]) -> None:
        """Take what an earlier life learned, in place of the values before any."""
        self._prior = coefficients
        self._solve()

    def reading_s(self, token_s: float, ahead_tokens: int, prompt_tokens: int) -> float:
        """Return the time for reading a prompt and those before it, in seconds.

        Parameters
        ----------
        token_s : float
            Time of the target for an output token, in seconds.
        ahead_tokens, prompt_tokens : int
            Tokens of the prompts before it, and of its own.
        """
        row = _features(token_s, ahead_tokens, prompt_tokens)
        return self._coefficients[1] * row[1] + self._coefficients[2] * row[2]

    def note(
        self, token_s: float, ahead_tokens: int, prompt_tokens: int, taken_s: float
    ) -> None:
        """Learn from a first event of a target that had a free slot.

        Parameters
        ----------
        token_s : float
            Time of the target for an output token, in seconds.
        ahead_tokens, prompt_tokens : int
            Tokens of the prompts before it, and of its own.
        taken_s : float
            Time from the sending to the first event, in seconds.
        """
        row = _features(token_s, ahead_tokens, prompt_tokens)
        weight = (RELATIVE_FLOOR_S / max(RELATIVE_FLOOR_S, taken_s)) ** 2
        for i, left in enumerate(row):
            for j, right in enumerate(row):
                self._products[i][j] *= FORGETTING
                self._products[i][j] += weight * left * right
            self._values[i] *= FORGETTING
            self._values[i] += weight * left * taken_s
        self._since_solved += 1
        if self._since_solved >= SOLVED_EACH:
            self._since_solved = 0
            self._solve()

    def _solve(self) -> None:
        products = [list(row) for row in self._products]
        values = list(self._values)
        for i, weight in enumerate(PRIOR_WEIGHTS):
            products[i][i] += weight
            values[i] += weight * self._prior[i]
        fixed_s, *parts = solve(products, values)
        bounded = [min(max(each, LEAST_SCALE), MOST_SCALE) for each in parts]
        self._coefficients = [max(0.0, fixed_s), *bounded]


def _features(token_s: float, ahead_tokens: int, prompt_tokens: int) -> Row:
    tokens = ahead_tokens + prompt_tokens
    pairs = prompt_tokens * prompt_tokens
    return [1.0, TOKEN_SCALE * token_s * tokens, PAIR_SCALE * token_s * pairs]


def solve(matrix: Sequence[Sequence[float]], values: Sequence[float]) -> list[float]:
    """Return the solution of a small symmetric positive system of equations.

    Parameters
    ----------
    matrix : sequence of sequences of float, shape (n, n)
        The products.
    values : sequence of float, shape (n,)
        The right side.
    """
    size = len(values)
    rows = [[*row, value] for row, value in zip(matrix, values, strict=True)]
    for i in range(size):
        for j in range(i + 1, size):
            factor = rows[j][i] / rows[i][i]
            for k in range(i, size + 1):
                rows[j][k] -= factor * rows[i][k]
    solution = [0.0] * size
    for i in reversed(range(size)):
        known = sum(rows[i][k] * solution[k] for k in range(i + 1, size))
        solution[i] = (rows[i][size] - known) / rows[i][i]
    return solution
