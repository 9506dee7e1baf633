"""Tests of the capacity page and its figures."""

import copy
import json

import pytest

from bench import slopes, slopes_page
from bench.slopes_fit import fit_line, predict


@pytest.fixture(name='results')
def read_results():
    return json.loads(slopes.RESULTS.read_text())


class TestPage:
    def test_is_rendered_from_the_stored_results(self, results):
        page = slopes_page.PAGE.read_text()
        assert page == slopes_page.render(results)

    def test_changes_with_each_slope_it_names(self, results):
        page = slopes_page.render(results)
        for name in results['slopes']:
            changed = copy.deepcopy(results)
            changed['slopes'][name]['slope'] *= 2
            changed['slopes'][name]['slope'] += 1
            assert slopes_page.render(changed) != page

    def test_every_slope_has_three_sizes(self, results):
        for name, line in results['slopes'].items():
            assert len(slopes_page.list_sizes(line)) >= 3, name

    def test_lines_fit_their_points(self, results):
        for line in results['slopes'].values():
            again = fit_line(line['unit'], line['per'], line['points'])
            assert again['slope'] == pytest.approx(line['slope'], abs=1e-9)
            assert again['offset'] == pytest.approx(line['offset'], abs=1e-6)


class TestFit:
    def test_finds_a_line(self):
        line = fit_line('bytes', 'slot request', [(1, 5), (2, 7), (3, 9)])
        assert predict(line, 10) == pytest.approx(23)
        assert line['slope_error'] == pytest.approx(0, abs=1e-9)
