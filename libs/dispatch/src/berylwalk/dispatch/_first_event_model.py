"""Model of the time to the first event, fitted per service.

The time is the sum of a fixed part, a part linear in the tokens to prefill, and a part
quadratic in the length of the own prompt (attention). The last two scale with the time
per output token of the target, which is observable under full load, too, when the time
to the first event mostly consists of queueing.

The coefficients are fitted by ridge regression over exponentially decayed observations.
"""

from collections.abc import Sequence

TOKEN_SCALE = 3e-3
"""Initial prefill time of one prompt token, as a multiple of the time per output token:
batched prefill is some hundred times faster than decoding."""
PAIR_SCALE = 6e-8
"""Initial attention time per pair of prompt tokens, as the same multiple."""
FIXED_S = 0.03
"""Initial fixed time in seconds."""
PRIOR = (FIXED_S, 1.0, 1.0)
"""Coefficients before any observation."""
PRIOR_WEIGHTS = (0.5, 0.002, 0.002)
"""Regularization weights of the coefficients. They don't decay, so that coefficients
without evidence stay at the prior."""
DECAY = 0.99
"""Decay factor of the weight of earlier observations: some hundred count."""
WEIGHT_FLOOR_S = 0.05
"""Observations are weighted by the inverse square of their time, with times below this
value weighted alike, in seconds."""
SOLVE_INTERVAL = 8
"""Number of observations between two solutions."""
MIN_SCALE, MAX_SCALE = 0.1, 10.0
"""Bounds of the fitted scales, as multiples of their initial values."""

Row = list[float]


class FirstEventModel:
    """Fixed time and prefill time of the targets of one service.

    Attributes
    ----------
    fixed_s : float
        Time to the first event of an empty prompt, in seconds.
    """

    def __init__(self) -> None:
        self._prior = PRIOR
        self._coefficients = list(PRIOR)
        self._products = [[0.0] * len(PRIOR) for _ in PRIOR]
        self._values = [0.0] * len(PRIOR)
        self._since_solved = 0

    @property
    def fixed_s(self) -> float:
        """Time to the first event of an empty prompt, in seconds."""
        return self._coefficients[0]

    @property
    def coefficients(self) -> tuple[float, float, float]:
        """Fixed time in seconds, and scales of prefill and attention."""
        fixed_s, reading, attention = self._coefficients
        return fixed_s, reading, attention

    def adopt(self, coefficients: tuple[float, float, float]) -> None:
        """Use the coefficients of an earlier process as the prior."""
        self._prior = coefficients
        self._solve()

    def prefill_s(self, token_s: float, ahead_tokens: int, prompt_tokens: int) -> float:
        """Return the time to prefill a prompt and those ahead of it, in seconds.

        Parameters
        ----------
        token_s : float
            Time per output token of the target, in seconds.
        ahead_tokens, prompt_tokens : int
            Tokens of the prompts ahead of it, and of its own prompt.
        """
        row = _features(token_s, ahead_tokens, prompt_tokens)
        return self._coefficients[1] * row[1] + self._coefficients[2] * row[2]

    def observe(
        self, token_s: float, ahead_tokens: int, prompt_tokens: int, taken_s: float
    ) -> None:
        """Add an observation from a target that had a free slot.

        Parameters
        ----------
        token_s : float
            Time per output token of the target, in seconds.
        ahead_tokens, prompt_tokens : int
            Tokens of the prompts ahead of it, and of its own prompt.
        taken_s : float
            Time from sending the request to the first event, in seconds.
        """
        row = _features(token_s, ahead_tokens, prompt_tokens)
        weight = (WEIGHT_FLOOR_S / max(WEIGHT_FLOOR_S, taken_s)) ** 2
        for i, left in enumerate(row):
            for j, right in enumerate(row):
                self._products[i][j] *= DECAY
                self._products[i][j] += weight * left * right
            self._values[i] *= DECAY
            self._values[i] += weight * left * taken_s
        self._since_solved += 1
        if self._since_solved >= SOLVE_INTERVAL:
            self._since_solved = 0
            self._solve()

    def _solve(self) -> None:
        products = [list(row) for row in self._products]
        values = list(self._values)
        for i, weight in enumerate(PRIOR_WEIGHTS):
            products[i][i] += weight
            values[i] += weight * self._prior[i]
        fixed_s, *parts = solve(products, values)
        bounded = [min(max(each, MIN_SCALE), MAX_SCALE) for each in parts]
        self._coefficients = [max(0.0, fixed_s), *bounded]


def _features(token_s: float, ahead_tokens: int, prompt_tokens: int) -> Row:
    tokens = ahead_tokens + prompt_tokens
    pairs = prompt_tokens * prompt_tokens
    return [1.0, TOKEN_SCALE * token_s * tokens, PAIR_SCALE * token_s * pairs]


def solve(matrix: Sequence[Sequence[float]], values: Sequence[float]) -> list[float]:
    """Solve a small symmetric positive definite system of linear equations.

    Parameters
    ----------
    matrix : sequence of sequences of float, shape (n, n)
        Coefficient matrix.
    values : sequence of float, shape (n,)
        Right-hand side.
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
