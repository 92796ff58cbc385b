"""A simulated machine: one process, its monotonic clock, and its faults."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from mallowbeam.simulation.clock import Event, Simulator, Step


class State(Enum):
    """State of the machine's process."""

    OFF = "off"
    RUNNING = "running"
    FROZEN = "frozen"


class End(Enum):
    """How a process ended; decides whether its peers get connection resets."""

    KILLED = "killed"  # the kernel survives and resets the connections
    POWER = "power"  # the machine is off; its peers get no reset


class Timer:
    """A scheduled step of a process; it does not run if cancelled or if the process ends first."""

    __slots__ = ("_event", "_step")

    def __init__(self, step: Step) -> None:
        self._step: Step | None = step
        self._event: Event | None = None

    def cancel(self) -> None:
        """Prevent the step from running, also if it is deferred until the process is thawed."""
        self._step = None
        if self._event is not None:
            self._event.cancel()

    def set_event(self, event: Event) -> None:
        """Remember the simulator event that runs the step."""
        self._event = event

    def run(self) -> None:
        """Run the step, once."""
        step, self._step = self._step, None
        if step is not None:
            step()


class Machine:
    """A named machine. `boot` runs at each start of the process."""

    def __init__(self, simulator: Simulator, name: str, boot: Step | None = None, ip: str = "") -> None:
        self.simulator = simulator
        self.name = name
        self.ip = ip or name
        self.boot = boot
        self.state = State.OFF
        self.powered = True  # the kernel responds, whether or not the process runs
        self.incarnation = 0  # incremented at each start
        self.clock_rate = 1.0  # seconds of its monotonic clock per simulated second
        self.clock_offset = 0.0
        self.step_cost = 0.0  # duration of each step of the process in simulated seconds
        self._busy_until = 0.0
        self._deferred: list[Timer] = []  # steps deferred until the process is thawed
        self._end_listeners: list[Callable[[End], None]] = []
        self._thaw_listeners: list[Step] = []

    # ------------------------------------------------------------ clock and timers

    @property
    def running(self) -> bool:
        """Whether the process runs and is not frozen."""
        return self.state is State.RUNNING

    def clock(self) -> float:
        """The monotonic clock of the process, in seconds."""
        return self.clock_offset + self.clock_rate * self.simulator.now

    def later(self, delay: float, step: Step) -> Timer:
        """Schedule a step of the process after a delay in seconds of its own clock."""
        return self.after_true(max(0.0, delay) / self.clock_rate, step)

    def after_true(self, delay: float, step: Step) -> Timer:
        """Schedule a step of the process after a delay in simulated seconds."""
        timer, incarnation = Timer(step), self.incarnation

        def run_when_due() -> None:
            if incarnation != self.incarnation or self.state is State.OFF:
                return
            if self.state is State.FROZEN:
                self._deferred.append(timer)
            elif self.simulator.now < self._busy_until:
                timer.set_event(self.simulator.at(self._busy_until, run_when_due))
            else:
                self._busy_until = self.simulator.now + self.step_cost
                timer.run()

        timer.set_event(self.simulator.after(delay, run_when_due))
        return timer

    # ------------------------------------------------------------ life cycle and faults

    def on_end(self, listener: Callable[[End], None]) -> None:
        """Call a listener at each end of the process."""
        self._end_listeners.append(listener)

    def on_thaw(self, listener: Step) -> None:
        """Call a listener each time the frozen process resumes."""
        self._thaw_listeners.append(listener)

    def set_clock_rate(self, rate: float) -> None:
        """Change the rate of the monotonic clock from now on."""
        self.clock_offset += (self.clock_rate - rate) * self.simulator.now
        self.clock_rate = rate

    def start(self) -> None:
        """Start the process, unless it runs already."""
        if self.state is not State.OFF:
            return
        self.state = State.RUNNING
        self.powered = True
        self._busy_until = self.simulator.now
        self.incarnation += 1
        if self.boot is not None:
            self.boot()

    def kill(self) -> None:
        """End the process; the kernel resets its connections."""
        self._end(End.KILLED)

    def power_off(self) -> None:
        """Turn the machine off until it is started again."""
        self.powered = False
        self._end(End.POWER)

    def freeze(self) -> None:
        """Suspend the process; the kernel keeps running."""
        if self.state is State.RUNNING:
            self.state = State.FROZEN

    def thaw(self) -> None:
        """Resume a frozen process and run its deferred steps in order."""
        if self.state is not State.FROZEN:
            return
        self.state = State.RUNNING
        deferred, self._deferred = self._deferred, []
        for listener in self._thaw_listeners:
            listener()
        for timer in deferred:
            self.after_true(0.0, timer.run)

    def _end(self, end: End) -> None:
        if self.state is State.OFF:
            return
        self.state = State.OFF
        self._deferred.clear()
        for listener in self._end_listeners:
            listener(end)
