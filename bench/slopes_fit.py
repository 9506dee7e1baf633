"""Least-squares lines through measured points."""

import statistics
import time

import numpy as np


def fit_line(unit, per, points):
    """Return the least-squares line through points, with its standard errors.

    :param unit: unit of the measured figure.
    :param per: what the size counts.
    :param points: pairs of size and figure, several for each size.
    """
    sizes = np.array([size for size, _ in points], dtype=float)
    figures = np.array([figure for _, figure in points], dtype=float)
    design = np.column_stack([sizes, np.ones_like(sizes)])
    slope, offset = np.linalg.lstsq(design, figures, rcond=None)[0]
    residuals = figures - design @ (slope, offset)
    degrees_of_freedom = max(len(points) - 2, 1)
    residual_error = np.sqrt((residuals**2).sum() / degrees_of_freedom)
    deviation_norm = np.sqrt(((sizes - sizes.mean()) ** 2).sum())
    return {
        'unit': unit,
        'per': per,
        'slope': float(slope),
        'offset': float(offset),
        'slope_error': float(residual_error / deviation_norm),
        'residual': float(residual_error),
        'points': [[float(size), float(figure)] for size, figure in points],
    }


def predict(line, size):
    """Return the figure of a line at a size.

    :param line: result of ``fit_line``.
    """
    return line['offset'] + line['slope'] * size


def describe(values):
    """Return median, minimum and maximum of some values."""
    return {
        'median': statistics.median(values),
        'least': min(values),
        'greatest': max(values),
    }


def time_cpu(action, *arguments):
    """Return the CPU seconds of one call."""
    before = time.process_time()
    action(*arguments)
    return time.process_time() - before
