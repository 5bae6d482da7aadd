"""Seeded plans of signals, configurations and changes of targets, in series that overlap."""

import asyncio

SETTLE_SECONDS = 2.0


class Plan:
    """Plays steps on a deployment, one after the other, each with its own random times."""

    def __init__(self, random, deployment):
        self.random = random
        self.deployment = deployment
        self.steps = [self.stop_one, self.stop_one_twice, self.stop_all_in_turn, self.stop_all_twice_in_turn,
                      self.stop_during_start, self.reload_and_stop, self.stop_without_store, self.interrupt_one,
                      self.replace_targets, self.change_configuration]
        self.played = []

    async def run(self, until_seconds):
        """Plays the steps in random order, each once before any again, and two at a time."""
        await asyncio.gather(self.play(until_seconds), self.play(until_seconds))

    async def play(self, until_seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + until_seconds
        steps = []
        while loop.time() < end:
            steps = steps or self.random.sample(self.steps, len(self.steps))
            step = steps.pop()
            self.played.append(step.__name__)
            await step()
            await self.pause(0, SETTLE_SECONDS)

    async def pause(self, low, high):
        await asyncio.sleep(self.random.uniform(low, high))

    def any_entry(self):
        return self.random.choice(self.deployment.entries)

    async def stop_one(self):
        self.any_entry().send("TERM")

    async def stop_one_twice(self):
        entry = self.any_entry()
        for _ in range(self.random.randint(2, 4)):
            entry.send("TERM")
            await self.pause(0.02, 1.5)

    async def stop_all_in_turn(self):
        for entry in self.random.sample(self.deployment.entries, len(self.deployment.entries)):
            entry.send("TERM")
            await self.pause(0.2, 1.2)

    async def stop_all_twice_in_turn(self):
        await self.stop_all_in_turn()
        await self.stop_all_in_turn()

    async def stop_during_start(self):
        entry = self.any_entry()
        life = entry.life
        entry.send("TERM")
        while entry.life is life:
            await asyncio.sleep(0.02)
        for _ in range(2):
            await self.pause(0.2, 1.2)
            entry.send(self.random.choice(["TERM", "TERM", "HUP"]) if entry.has_handlers() else "TERM")

    async def reload_and_stop(self):
        entry = self.any_entry()
        for name in self.random.choice([["HUP", "TERM"], ["TERM", "HUP"], ["HUP", "TERM", "HUP", "TERM"]]):
            if name == "TERM" or entry.has_handlers():
                entry.send(name)
            await self.pause(0.01, 0.8)

    async def stop_without_store(self):
        disruption = asyncio.ensure_future(self.deployment.store.disrupt(self.random.uniform(0.5, 3)))
        await self.pause(0, 1)
        await self.stop_one_twice()
        await disruption

    async def interrupt_one(self):
        entry = self.any_entry()
        if not entry.life.signals:  # while it drains, SIGINT aborts what runs
            entry.send("INT")

    async def replace_targets(self):
        await self.deployment.replace_target(self.random.random() < 0.5)

    async def change_configuration(self):
        for _ in range(self.random.randint(1, 4)):
            await self.deployment.change_configuration()
            await self.pause(0.1, 3)
