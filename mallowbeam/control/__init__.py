"""All decisions of a mallowbeam host.  Its types, events and actions: mallowbeam/interface.py.

A request is booked into the earliest cycle with room at its node, or refused at once where none ends in time;
docs/design.md says what departs from that, and when.  Read: requests, nodes, booking, sending, scheduler.
"""

from mallowbeam.control.scheduler import Scheduler as Scheduler
