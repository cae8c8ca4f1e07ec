"""The routers' own rows over a return of the store from an older copy."""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import until  # noqa: E402
from store_return import StoreReturnTestCase  # noqa: E402

TABLE = "pomelospar"
RECEIVED = 'pomelospar_report_datagrams_total{kind="received"}'


class RoutersAfterReturnTest(StoreReturnTestCase):
    """The copy lacks what the routers wrote."""

    def value(self, key):
        return self.store.rows.get((TABLE, key), (None, 0))[0]

    def values(self, keys):
        """Returns the rows by key. The epoch that those of the routers and of the fleet must name is left out."""
        values = {key: self.value(key) for key in keys}
        for key in set(keys) - {"key"}:
            values[key] = json.loads(values[key])
            self.assertEqual(values[key].pop("epoch"), self.store.era, key)
        return values

    # Guards against rows and a key of reports that are missing for long after the store has lost them, which are
    # written by several routers or replaced by others, or which each return costs many calls.
    def test_rows_and_key_are_written_again_once(self):
        keys = ["key", "epoch"] + [f"router/{router.ip}" for router in self.routers]
        before = self.values(keys)
        self.leave_and_return(self.first_copy)
        self.assertIsNone(self.value("key"))
        self.store.writes.clear()
        calls = self.store.calls
        self.assertTrue(until(lambda: None not in map(self.value, keys), 4))
        time.sleep(3)
        self.assertEqual(self.values(keys), before)
        stored = sorted(key for key, status in self.store.writes if status == 200)
        self.assertEqual(stored, sorted(keys))
        # Three routers ask about twice a second each without a return.
        self.assertLess(self.store.calls - calls, 100)

    # Guards against rows that tell of a lost configuration which the store holds, written by routers that read
    # the rows of the fleet before the operator's table.
    def test_rows_name_no_configuration_that_the_store_holds(self):
        keys = [f"router/{router.ip}" for router in self.routers]
        before = self.values(keys)
        self.store.read_seconds["op"] = 0.4
        self.leave_and_return(self.first_copy)
        self.store.writes.clear()
        self.assertTrue(until(lambda: None not in map(self.value, keys), 5))
        time.sleep(1)
        self.assertEqual(self.values(keys), before)
        self.assertEqual(sorted(key for key, _ in self.store.writes if key in keys), keys)

    # Guards against routers that cease to send each other reports, because the copy lacks their rows.
    def test_reports_go_on_over_the_return(self):
        before = [len(router.log_lines()) for router in self.routers]
        received = [router.metric(RECEIVED) for router in self.routers]
        self.leave_and_return(self.first_copy, 503)
        for _ in range(10):
            time.sleep(0.5)
            now = [router.metric(RECEIVED) for router in self.routers]
            # Two others report about every 80 ms.
            self.assertTrue(all(n - r >= 5 for n, r in zip(now, received)), (received, now))
            received = now
        for router, first in zip(self.routers, before):
            peers = {line["peers"] for line in router.log_lines()[first:] if line["message"] == "load"}
            self.assertEqual(peers, {2})

    # Guards against a second return that is overlooked while the routers still handle the first one.
    def test_two_returns_in_short_order(self):
        for _ in range(2):
            self.leave_and_return(self.first_copy, 503)
        keys = ["key"] + [f"router/{router.ip}" for router in self.routers]
        self.assertTrue(until(lambda: None not in map(self.value, keys), 5))
        for router in self.routers:
            epochs = [line["epoch"] for line in router.log_lines() if line["message"] == "store_epoch"]
            self.assertEqual(epochs[-1], 3)
            self.assertEqual(self.send(router), 200)


if __name__ == "__main__":
    unittest.main()
