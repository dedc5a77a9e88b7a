"""Operations on small matrices for the attribution of calls."""

from collections.abc import Iterable
from operator import mul


def dot(left: Iterable[float], right: Iterable[float]) -> float:
    """Return the sum of the products of two rows.

    :param left: one row
    :param right: the other one
    """
    return sum(map(mul, left, right))


def inverse_of(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a symmetric positive definite matrix.

    :param matrix: its rows
    """
    size = len(matrix)
    rows = [
        [*line, *(float(i == j) for j in range(size))] for i, line in enumerate(matrix)
    ]
    for pivot in range(size):
        scale = 1.0 / rows[pivot][pivot]
        rows[pivot] = [value * scale for value in rows[pivot]]
        for index in range(size):
            factor = rows[index][pivot]
            if index != pivot and factor:
                rows[index] = [
                    value - factor * other
                    for value, other in zip(rows[index], rows[pivot], strict=True)
                ]
    return [line[size:] for line in rows]
