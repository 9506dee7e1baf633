"""Line through measured points, with its spread."""

import statistics
import time

import numpy as np


def fit_line(unit, per, points):
    """Return slope and offset of the least squares line and their spread.

    :param unit: unit of the measured figure.
    :param per: what the size counts.
    :param points: pairs of size and figure, several for each size.
    """
    sizes = np.array([size for size, _ in points], dtype=float)
    figures = np.array([figure for _, figure in points], dtype=float)
    design = np.column_stack([sizes, np.ones_like(sizes)])
    slope, offset = np.linalg.lstsq(design, figures, rcond=None)[0]
    rest = figures - design @ (slope, offset)
    freedom = max(len(points) - 2, 1)
    spread = np.sqrt((rest**2).sum() / freedom)
    width = np.sqrt(((sizes - sizes.mean()) ** 2).sum())
    return {
        'unit': unit,
        'per': per,
        'slope': float(slope),
        'offset': float(offset),
        'slope_error': float(spread / width),
        'residual': float(spread),
        'points': [[float(size), float(figure)] for size, figure in points],
    }


def predict(line, size):
    """Return the figure of a line at a size."""
    return line['offset'] + line['slope'] * size


def describe(values):
    """Return median, least and greatest."""
    return {
        'median': statistics.median(values),
        'least': min(values),
        'greatest': max(values),
    }


def time_cpu(action, *arguments):
    """Return the processor seconds of one call."""
    before = time.process_time()
    action(*arguments)
    return time.process_time() - before
