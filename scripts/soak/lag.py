"""How late the event loop of the run itself is, by which times that its clients measure are too long."""

import asyncio
import time

INTERVAL_SECONDS = 0.01


class LoopLag:
    """Samples of the lag of this event loop."""

    def __init__(self):
        self.samples = []

    async def run(self):
        while True:
            due = time.monotonic() + INTERVAL_SECONDS
            await asyncio.sleep(INTERVAL_SECONDS)
            now = time.monotonic()
            self.samples.append((now, now - due))

    def total(self, begin, end):
        """Returns for how many seconds between two times the loop did not run when it was due."""
        return sum(lag for moment, lag in self.samples if begin <= moment <= end + lag)

    def greatest(self):
        return max((lag for _, lag in self.samples), default=0.0)
