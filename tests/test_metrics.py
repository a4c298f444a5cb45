"""Tests of metrics."""

import testtools

from bilberryhaven import metrics


class TestMetrics(testtools.TestCase):
    def test_page_has_each_metric_type(self):
        process_metrics = metrics.Metrics()
        process_metrics.count('requests_total', 'Requests.', code='ok')
        process_metrics.count(
            'requests_total', 'Requests.', amount=2, code='ok'
        )
        process_metrics.set('queue', 'Queued requests.', 4)
        process_metrics.observe('seconds', 'Time taken.', 0.2)
        body, headers = process_metrics.render()
        self.assertIn(b'bilberryhaven_requests_total{code="ok"} 3', body)
        self.assertIn(b'bilberryhaven_queue 4', body)
        self.assertIn(b'bilberryhaven_seconds_count 1', body)
        self.assertIn(b'bilberryhaven_input_kept_bytes', body)
        self.assertIn('text/plain', headers['Content-Type'])
