"""Capacity page and its plot."""

import pathlib
import string

import matplotlib as mpl

from bench.slopes_capacity import compute

ROOT = pathlib.Path(__file__).parent.parent
TEMPLATE = ROOT / 'bench' / 'templates' / 'CAPACITY.md'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
PLOT = ROOT / 'docs' / 'capacity.png'

#: Names of the lines in the plot.
PANELS = (
    'queue_pair_cpu',
    'queue_ask_bytes',
    'queue_rebuild_cpu',
    'claim_writes',
    'claim_takeover',
    'member_bytes',
    'keeper_round_cpu',
    'config_adopt_cpu',
)


def format_figure(value):
    """Return a figure with three significant digits.

    Examples
    ========

    >>> format_figure(0.012345), format_figure(1234.5), format_figure(98765)
    ('0.0123', '1,230', '98,800')
    """
    if isinstance(value, str):
        return value
    if not value:
        return '0'
    rounded = float(f'{value:.3g}')
    return f'{rounded:,.0f}' if abs(rounded) >= 100 else f'{rounded:g}'


def format_slopes(results):
    """Return the rows of the table of fitted lines, in Markdown."""
    return '\n'.join(
        f'| `{name}` | {line["unit"]} | {line["per"]} |'
        f' {format_figure(line["slope"])} |'
        f' {format_figure(line["slope_error"])} |'
        f' {format_figure(line["offset"])} |'
        f' {", ".join(list_sizes(line))} |'
        for name, line in results['slopes'].items()
    )


def list_sizes(line):
    """Return the measured sizes of a line as texts, in ascending order."""
    sizes = sorted({size for size, _ in line['points']})
    return [f'{size:,.0f}' for size in sizes]


def render(results):
    """Return the capacity page, the template with all figures."""
    figures = {
        name: format_figure(value) for name, value in compute(results).items()
    }
    run = results['run']
    return string.Template(TEMPLATE.read_text()).substitute(
        figures,
        slopes=format_slopes(results),
        run=', '.join(f'{name} {value}' for name, value in run.items()),
    )


def plot(results):
    """Plot the measured points and the fitted lines of ``PANELS``."""
    mpl.use('Agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, axes = plt.subplots(2, 4, figsize=(16, 7))
    for name, axis in zip(PANELS, axes.flat, strict=True):
        line = results['slopes'][name]
        sizes = [point[0] for point in line['points']]
        axis.plot(sizes, [point[1] for point in line['points']], 'o')
        ends = [min(sizes), max(sizes)]
        axis.plot(ends, [line['offset'] + line['slope'] * x for x in ends])
        axis.set_title(name, fontsize=9)
        axis.set_xlabel(line['per'], fontsize=8)
        axis.set_ylabel(line['unit'], fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=80)
    plt.close(figure)
