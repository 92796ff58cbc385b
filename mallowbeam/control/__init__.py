"""All decisions of a mallowbeam host.  Its types, events and actions: mallowbeam/interface.py.

A request is booked, a slot for each unit, into the earliest cycle with room at its node; slots are sized by
measured slot time; one that no cycle finishes before its deadline is refused at once.  docs/design.md says
what departs from that and when.  Read: requests, nodes, health, booking, sending, scheduler.
"""

from mallowbeam.control.scheduler import Scheduler as Scheduler
