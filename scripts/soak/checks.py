"""Checks of each exchange against the rules of the platform, and of the runs at the targets."""

import collections

from soak import targets
from soak.clients import DEADLINE_SECONDS
from soak.processes import GRACE_SECONDS

LOSS_SLACK_SECONDS = 0.2
DRAIN_SECONDS = 2.0
CONFIG_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# Targets still at work in the last sixth of the grace period excuse the entry.
LAST_PART_OF_GRACE_SECONDS = GRACE_SECONDS * 5 / 6
PROMISES_NOT_RUN = (408, 421, 429, 503)
REPEATABLE = ("safe", "stream", "extra")


class Checker:
    """Finds broken rules.

    `ledger` has the runs of each attempt, `config_changes` the times at which a configuration was acknowledged, each
    with whether it has the route of kind "extra", `lag` by how much the times that clients measured are too long.
    """

    def __init__(self, store, ledger, config_changes, lag):
        self.store = store
        self.ledger = ledger
        self.config_changes = config_changes
        self.lag = lag
        self.findings = []
        self.counts = collections.Counter()

    def check(self, exchanges):
        for exchange in exchanges:
            runs = [run for run in self.ledger.get(exchange.attempt, []) if not run.refused]
            self.check_runs(exchange, runs)
            if exchange.complete:
                self.check_response(exchange, runs)
            else:
                self.check_end(exchange, runs)

    def find(self, rule, exchange, detail):
        self.findings.append(f"{rule}: {detail}: {exchange}")

    def check_runs(self, exchange, runs):
        if exchange.kind not in REPEATABLE and len(runs) > 1:
            self.find("TWICE", exchange, f"runs {len(runs)} times")
        for run in self.ledger.get(exchange.attempt, []):
            left = run.target.left
            if left is not None and run.arrived > left + DRAIN_SECONDS and self.in_touch(exchange, run.arrived):
                self.find("DRAIN", exchange, f"reaches {run.target.name} {run.arrived - left:.3f} s after it left")

    def check_response(self, exchange, runs):
        if 200 <= exchange.status < 300:
            self.counts["complete"] += 1
            if not self.is_whole(exchange):
                self.find("MIXED", exchange, "another response than its target's")
        elif exchange.status in PROMISES_NOT_RUN:
            self.counts["refused"] += 1
            if runs and exchange.kind not in REPEATABLE:
                self.find("REFUSED", exchange, "has run")
        elif exchange.status == 404 and exchange.kind == "extra":
            self.counts["no route"] += 1
        elif not self.is_excused(exchange, runs):
            self.find("FAILED", exchange, f"its targets ended {self.ends(exchange, runs)}")
        self.check_config(exchange, runs)

    def is_whole(self, exchange):
        size = int(exchange.path.split("/")[3])
        if exchange.kind in ("stream", "once"):
            expected = b"".join(targets.event(exchange.attempt, number) for number in range(1, size + 1))
        else:
            expected = targets.plain_content(exchange.attempt, exchange.body, size)
        return exchange.seal == targets.SEAL and exchange.content == expected

    def check_config(self, exchange, runs):
        if exchange.kind != "extra" or not self.in_touch(exchange, exchange.begun):
            return
        if any(exchange.begun - CONFIG_SECONDS < moment < exchange.ended for moment, _ in self.config_changes):
            return
        present = [present for moment, present in self.config_changes if moment < exchange.begun][-1]
        if present and exchange.status == 404:
            self.find("CONFIG", exchange, "no route")
        if not present and runs:
            self.find("CONFIG", exchange, "runs although its route is gone")

    def check_end(self, exchange, runs):
        if exchange.sent is None:
            self.counts["not accepted" if exchange.first else "closed while it was sent"] += 1
            if runs:
                self.find("UNASKED", exchange, "runs although it was not sent to its end")
        elif self.is_excused(exchange, runs):
            self.counts["excused"] += 1
        elif exchange.timed_out:
            self.find("HELD", exchange, f"no end at its deadline; its targets ended {self.ends(exchange, runs)}")
        elif runs:
            self.find("LOST", exchange, f"passed on; its targets ended {self.ends(exchange, runs)}")
        elif exchange.ended - exchange.sent > LOSS_SLACK_SECONDS + self.lag.total(exchange.sent, exchange.ended):
            self.find("LOST", exchange, "connection closed late, without a response")
        else:
            self.counts["not accepted" if exchange.first else "crossed the close"] += 1

    def is_excused(self, exchange, runs):
        """Returns whether a target worked too long for the drain, or too long for the deadline."""
        if not runs:
            return False
        end = max(run.ended or run.cut or float("inf") for run in runs)
        if end > exchange.begun + DEADLINE_SECONDS and not any(run.broken_off for run in runs):
            return True
        terminated = exchange.life.terminated
        return (terminated is not None and end > terminated + LAST_PART_OF_GRACE_SECONDS
                and exchange.sent <= terminated + 3)

    def ends(self, exchange, runs):
        return [f"+{run.ended - exchange.begun:.3f}" if run.ended else
                f"cut off +{run.cut - exchange.begun:.3f}" if run.cut else
                "broken off" if run.broken_off else "never" for run in runs]

    def in_touch(self, exchange, moment):
        """Returns whether rules with a bound in time hold for the entry, as nothing disturbs it or the store."""
        life = exchange.life
        terminated = life.terminated
        return (moment > life.started + CONTACT_SECONDS and (terminated is None or moment < terminated)
                and not self.store.disrupted_since(moment - CONTACT_SECONDS))
