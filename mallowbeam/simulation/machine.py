"""A simulated machine: one process, its steady clock, and what can happen to it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from mallowbeam.simulation.clock import Event, Simulator, Step


class State(Enum):
    """What the machine's process does."""

    OFF = "off"
    RUNNING = "running"
    FROZEN = "frozen"


class End(Enum):
    """How a process ended."""

    KILLED = "killed"  # the machine goes on: its kernel closes the connections
    POWER = "power"  # nobody is told


class Timer:
    """A step of a process that is due later, unless it is cancelled or the process ends before."""

    __slots__ = ("_event", "_step")

    def __init__(self, step: Step) -> None:
        self._step: Step | None = step
        self._event: Event | None = None

    def cancel(self) -> None:
        """Have the step not run, also where it only waits for the process to be thawed."""
        self._step = None
        if self._event is not None:
            self._event.cancel()

    def planned(self, event: Event) -> None:
        """The event that runs it."""
        self._event = event

    def run(self) -> None:
        """Run the step, once."""
        step, self._step = self._step, None
        if step is not None:
            step()


class Machine:
    """A machine by its name. `boot` makes the process run; it is called at each start."""

    def __init__(self, simulator: Simulator, name: str, boot: Step | None = None, ip: str = "") -> None:
        self.simulator, self.name, self.ip = simulator, name, ip or name
        self.boot = boot
        self.state = State.OFF
        self.powered = True  # the kernel answers, whether or not the process runs
        self.incarnation = 0  # rises with each start
        self.clock_rate = 1.0  # seconds of its steady clock in one true second
        self.clock_offset = 0.0
        self.step_cost = 0.0  # true seconds that each step of the process takes
        self._busy_until = 0.0
        self._waiting: list[Timer] = []  # due while the process was frozen
        self._end_listeners: list[Callable[[End], None]] = []
        self._thaw_listeners: list[Step] = []

    # ------------------------------------------------------------ what its process sees

    @property
    def running(self) -> bool:
        """Whether the process takes steps."""
        return self.state is State.RUNNING

    def clock(self) -> float:
        """The steady clock, in seconds."""
        return self.clock_offset + self.clock_rate * self.simulator.now

    def later(self, delay: float, step: Step) -> Timer:
        """Have the process take a step after a delay in seconds of its own clock."""
        return self.after_true(max(0.0, delay) / self.clock_rate, step)

    def after_true(self, delay: float, step: Step) -> Timer:
        """Have the process take a step after a delay in true seconds."""
        timer, incarnation = Timer(step), self.incarnation

        def due() -> None:
            if incarnation != self.incarnation or self.state is State.OFF:
                return
            if self.state is State.FROZEN:
                self._waiting.append(timer)
            elif self.simulator.now < self._busy_until:
                timer.planned(self.simulator.at(self._busy_until, due))
            else:
                self._busy_until = self.simulator.now + self.step_cost
                timer.run()

        timer.planned(self.simulator.after(delay, due))
        return timer

    # ------------------------------------------------------------ what happens to it

    def on_end(self, listener: Callable[[End], None]) -> None:
        """Tell of each end of a process."""
        self._end_listeners.append(listener)

    def on_thaw(self, listener: Step) -> None:
        """Tell of each time that a frozen process goes on."""
        self._thaw_listeners.append(listener)

    def set_clock_rate(self, rate: float) -> None:
        """Have the steady clock go faster or slower from now on."""
        self.clock_offset += (self.clock_rate - rate) * self.simulator.now
        self.clock_rate = rate

    def start(self) -> None:
        """Start the process, where none runs."""
        if self.state is not State.OFF:
            return
        self.state, self.powered = State.RUNNING, True
        self._busy_until = self.simulator.now
        self.incarnation += 1
        if self.boot is not None:
            self.boot()

    def kill(self) -> None:
        """End the process; its kernel closes what was open."""
        self._end(End.KILLED)

    def power_off(self) -> None:
        """The machine loses power, until it is started."""
        self.powered = False
        self._end(End.POWER)

    def freeze(self) -> None:
        """Stop the process at this instant; the kernel goes on."""
        if self.state is State.RUNNING:
            self.state = State.FROZEN

    def thaw(self) -> None:
        """Let a frozen process go on: what became due meanwhile is run in its order."""
        if self.state is not State.FROZEN:
            return
        self.state = State.RUNNING
        waiting, self._waiting = self._waiting, []
        for listener in self._thaw_listeners:
            listener()
        for timer in waiting:
            self.after_true(0.0, timer.run)

    def _end(self, end: End) -> None:
        if self.state is State.OFF:
            return
        self.state = State.OFF
        self._waiting.clear()
        for listener in self._end_listeners:
            listener(end)
