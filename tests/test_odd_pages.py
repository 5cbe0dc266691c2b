"""One odd row on a page of the store hides no other row."""

import base64
import json
import unittest

from arbutustally_platform.store import StoreClient
from arbutustally_platform.store_topics import StoreKeyedTopic
from tests.odd_values import ODD_VALUES, as_json, with_field
from tests.platform_fakes import FakeStore


class PageStore(FakeStore):
    """Adds odd rows, as JSON, to the pages of one topic."""

    odd_rows: tuple[bytes, ...] = ()

    def _newest(self):
        page = super()._newest()
        if not isinstance(page, dict):
            return page
        rows = b", ".join([*self.odd_rows, *(json.dumps(row).encode() for row in page["items"])])
        rest = json.dumps({"hasMore": page["hasMore"], "end": page["end"]}).encode()
        return rest[:-1] + b', "items": [' + rows + b"]}"


class OddPageTest(unittest.TestCase):
    """Guards against one odd row that hides all others of its page."""

    def test_other_rows_of_the_page_are_read(self) -> None:
        store = PageStore()
        self.addCleanup(store.stop)
        store.put("keyed.t", "good", {"a": 1})
        row = {"key": "odd", "value": base64.b64encode(b"{}").decode(), "offset": 3}
        odd = [as_json(value) for name, value in ODD_VALUES.items() if name in ("list", "text")]
        for field in ("key", "value", "offset"):
            for name in ("half a character", "nothing", "list", "negative", "line end", "true"):
                odd.append(with_field(row, field, ODD_VALUES[name]))
            odd.append(json.dumps({key: one for key, one in row.items() if key != field}).encode())
        odd.append(json.dumps({**row, "value": "é"}).encode())
        topic = StoreKeyedTopic(StoreClient(store.address), "keyed.t")
        for one in odd:
            store.odd_rows = (one,)
            rows = topic.newest_rows().rows
            self.assertIn(("good", b'{"a": 1}', 0), rows, one)
            for key, value, _offset in rows:
                self.assertTrue(key.encode() and isinstance(value, bytes), one)
