"""Tests of metrics."""

import testtools

from bilberryhaven import metrics


class TestMetrics(testtools.TestCase):
    def test_page_holds_each_kind(self):
        page = metrics.Metrics()
        page.count('requests_total', 'Requests.', code='ok')
        page.count('requests_total', 'Requests.', amount=2, code='ok')
        page.set('queue', 'Queued requests.', 4)
        page.observe('seconds', 'Time taken.', 0.2)
        body, headers = page.render()
        self.assertIn(b'bilberryhaven_requests_total{code="ok"} 3', body)
        self.assertIn(b'bilberryhaven_queue 4', body)
        self.assertIn(b'bilberryhaven_seconds_count 1', body)
        self.assertIn('text/plain', headers['Content-Type'])
