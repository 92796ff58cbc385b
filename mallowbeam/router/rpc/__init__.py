"""Messages between our own processes: protobuf, frames, links, time-outs."""
