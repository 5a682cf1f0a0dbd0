"""Tests of the metrics of a sidecar over HTTP."""

import urllib3

from bench.addresses import find_address
from egretcrank.observability.exposition import MetricsServer, serve_metrics
from egretcrank.observability.metrics import Metrics
from tests.cases import AsyncTestCase


class MetricsServerTests(AsyncTestCase):
    def test_metrics_of_a_sidecar_can_be_scraped(self):
        """Guards against counters that no operator can read."""
        metrics = Metrics()
        metrics.partitions_owned.set({}, 3)
        address = find_address()
        server = MetricsServer(address, metrics.render)
        self.addCleanup(server.stop)
        reply = urllib3.request("GET", f"http://{address}/metrics", timeout=5)
        self.assertEqual(200, reply.status)
        self.assertIn(b"egretcrank_partitions_owned 3", reply.data)
        missing = urllib3.request("GET", f"http://{address}/other", timeout=5)
        self.assertEqual(404, missing.status)

    def test_a_port_in_use_stops_no_process(self):
        """Guards against daemons that end at each start for want of a metrics port."""
        address = find_address()
        server = MetricsServer(address, Metrics().render)
        self.addCleanup(server.stop)
        self.assertIsNone(serve_metrics(address, Metrics().render))
