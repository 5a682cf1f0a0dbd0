"""Types of the numbers that the platform's messages contain, with their bounds."""

from datetime import timedelta
from typing import Annotated

import msgspec

from egretcrank.wire.bounds import MAX_INTEGER

# Sums and multiples of a few such durations stay within the range of ``timedelta``.
MAX_DURATION = timedelta.max / 16
MAX_DURATION_MILLISECONDS = MAX_DURATION // timedelta(milliseconds=1)
MAX_NAME_CHARACTERS = 255
MAX_CHECKPOINT_CHARACTERS = 64 * 1024

# A positive number that is only compared.
Identifier = Annotated[int, msgspec.Meta(gt=0, le=MAX_INTEGER)]
# A clock reading in milliseconds since the start of a process.
Clock = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MILLISECONDS)]
# Milliseconds; negative once a time has passed.
DurationMilliseconds = Annotated[
    float, msgspec.Meta(ge=-MAX_DURATION_MILLISECONDS, le=MAX_DURATION_MILLISECONDS)
]
# The name of a task, a member or a topic.
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
# A reference to the saved work of a task, which reports and records repeat.
Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_CHARACTERS)]
Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
# A tail latency in milliseconds, or a CPU usage in millicores.
Measurement = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MILLISECONDS)]
