"""Run a non-idempotent call with an idempotency key at most once.

Each key has three holders: the listed gateways with the highest rendezvous scores for
the key. A gateway sends a call only after a majority of the holders has granted its
claim (with one or two listed gateways: all of them), and a holder grants a key to one
claim only. Any two majorities of the same holders share a gateway, so the two sides of
a partition cannot both send the call.

When the list of gateways changes, or after a start, a holder does not vote on keys
whose holders may have changed until every listed gateway with the same list has sent
it the records of its keys. After a start it waits at most for the longest lifetime of
a record.

Remaining risks: a repeat may run again if it arrives after the retention time, or if
the dispatcher (the gateway that sent the call) and two of the three holders lose their
records within the retention time, before another holder has copied them. In a fleet of
one, the only gateway is both dispatcher and holder. A gateway that is suspended for
longer than the retention time, between its last check of the deadline and the first
byte to the upstream, sends the call too late. "Not run" in a response refers to the
current attempt only: if too few holders can be reached and no reachable gateway has a
record of the key, an earlier attempt through another gateway may have run.
"""
