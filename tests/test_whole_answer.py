"""An answer is passed on only if it is whole and belongs to the request."""

import testtools
import xxhash
from returns.result import Success

from egretcrank.entry.requests import check_answer
from egretcrank.errors.kinds import ErrorKind
from egretcrank.wire.messages import Acknowledged, Executed

BODY = b"answer"
WHOLE = Executed("r1", "h", 200, "", BODY, xxhash.xxh64_hexdigest(BODY))


class WholeAnswerTest(testtools.TestCase):
    def test_answer_of_another_request_or_cut_short_is_refused(self):
        """Guards against a late or damaged answer that reaches the wrong caller."""
        self.assertIsInstance(check_answer(WHOLE, "r1"), Success)
        cut = Executed("r1", "h", 200, "", BODY[:-1], WHOLE.digest)
        for answer, request in ((WHOLE, "r2"), (cut, "r1"), (Acknowledged(), "r1")):
            outcome = check_answer(answer, request)
            self.assertEqual(ErrorKind.INVALID_MESSAGE, outcome.failure().kind)
