"""What asks: requests, their attempts, and the volumes whose reserves and limits they draw from."""

from mallowbeam.storage_gateway.scheduler.interface import Plan, RequestArrived, RequestClass

PRICE_LASTS = 2.0  # seconds: surges come and go within seconds, and so must what they make slots worth
EPS = 2e-6  # seconds: a clock that counts in microseconds may round a timer down
KEPT = 0.5  # of a limit's store: left to the dearest that it refused in PRICE_LASTS


class Volume:
    """What one volume has drawn through this host, against its reserve and its limit."""

    def __init__(self, name: tuple, hosts: int, max_units: int, since: float) -> None:
        self.name, self.hosts, self.max_units, self.at = name, hosts, max_units, since
        self.plan, self.part, self.limit_level = Plan(""), None, 0.0
        self.dear, self.dear_at = 0.0, since  # what the limit refused: a unit's worth, and when
        self.pending = self.coming = 0  # units booked and not sent; and those whose body still comes
        self.reserve_level = self.reserve_top = 0.0

    def parts(self) -> float:
        """How many parts as large as this host's the limit has."""
        return self.hosts if self.part is None else 1.0 / max(self.part, 1e-9)

    def change(self, plan: Plan, part: float | None, now: float) -> None:
        """Put it on a plan: what was drawn under the one before stays drawn, and what has grown fills up."""
        self.refill(now)
        before, slack = self.plan, self.plan.limit_slack / self.parts()
        self.plan, self.part = plan, part
        # Guards the limit: what its part gains here others may just have spent, so it starts at the bottom.
        bottom = -plan.limit_slack / self.parts()
        level = self.limit_level + min(0.0, bottom + slack)
        self.limit_level = level if before.limit > 0 else bottom - self.coming
        self.reserve_top = plan.reserve + self.max_units if plan.reserve else 0.0
        self.refill(now)

    def refill(self, now: float) -> None:
        """Let both stores fill up to now; the reserve counts whole, less what is told of other hosts."""
        passed, self.at = now - self.at, now
        self.limit_level = min(
            self.plan.limit_burst / self.parts() - self.coming,
            self.limit_level + passed * self.plan.limit / self.parts(),
        )
        self.reserve_level = min(self.reserve_top, self.reserve_level + passed * self.plan.reserve)

    def limit_wait(self, now: float, units: int, worth: float = 0.0) -> float:
        """Seconds until the limit bears so many units more; cheap ones leave a part of it."""
        self.refill(now)
        if self.plan.limit <= 0:
            return 0.0
        # First come would spend what is scarce on the cheap.  Harm: the dear may not come, and some is left.
        plan, dearer = self.plan, 0 < worth < self.dear and self.at < self.dear_at + PRICE_LASTS
        kept = KEPT * plan.limit_burst * dearer - plan.limit_slack
        missing = units + 1e-6 + kept / self.parts() - self.limit_level
        if missing > 0 < worth and not dearer and units * self.parts() <= plan.limit_burst + plan.limit_slack:
            self.dear, self.dear_at = worth, self.at
        return max(0.0, missing * self.parts() / self.plan.limit)


class Request:
    """A request this host has taken."""

    def __init__(
        self,
        event: RequestArrived,
        cls: RequestClass,
        volume: Volume,
        now: float,
        seq: int,
        spent: float,
    ) -> None:
        self.id, self.request_class, self.volume, self.units = event.request, cls, volume, max(1, event.units)
        self.shard, self.key, self.seq = event.shard, event.key if cls.ordered else None, seq
        self.data, self.deadline = event.key or event.request, now + event.expires_in
        self.aim_at = min(now + cls.latency_target - spent, self.deadline)
        self.density, self.tier = 0.0, 2  # a unit's worth now; 0 inside reserve, 1 inside share, 2 spare
        self.tries = 0  # attempts so far, as the wire numbers them
        self.out: dict[int, Attempt] = {}
        self.ran: list[tuple] = []  # attempts that may have run: at which node, and when sent
        self.done = self.late = self.asked = self.priced = self.drawn = False  # drawn: from its limit


class Attempt:
    """One attempt that is out."""

    def __init__(self, request: Request, number: int, node, now: float, coming: int) -> None:
        self.request, self.number, self.node, self.sent_at = request, number, node, now
        self.stuck, self.coming = False, coming  # passed over and given up; units no node may have yet
        self.until, self.cold_from, self.cold = now, node.cold_from, [now, request.units]
