"""Types of the numbers that the platform's messages contain, with their bounds."""

from datetime import timedelta
from typing import Annotated

import msgspec

from egretcrank.wire.bounds import MAX_COUNT, MAX_INTEGER

# Sums and multiples of a few such durations stay within the range of ``timedelta``.
MAX_DURATION = timedelta.max / 16
MAX_DURATION_MILLISECONDS = MAX_DURATION // timedelta(milliseconds=1)

# A number that increases by one with each event.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# A positive number that is only compared.
Identifier = Annotated[int, msgspec.Meta(gt=0, le=MAX_INTEGER)]
# A clock reading in milliseconds since the start of a process.
Clock = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MILLISECONDS)]
# Milliseconds; negative once a time has passed.
DurationMilliseconds = Annotated[
    float, msgspec.Meta(ge=-MAX_DURATION_MILLISECONDS, le=MAX_DURATION_MILLISECONDS)
]
