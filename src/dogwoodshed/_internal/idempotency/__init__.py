"""Run a non-idempotent call with a key at most once.

A key has three holders, the gateways with the highest rendezvous scores among the
listed ones. A call is sent only after a majority of the holders has granted its claim
(with one or two listed gateways: all of them), and a holder grants a key to one claim
only. Two majorities of the same holders share a gateway, so that two sides of a
partition cannot both send a call.

When the listed gateways change, or after a start, a holder grants no key whose holders
may have changed before every listed gateway with the same list has sent it the records
of its keys. After a start this wait ends with the longest life of a record.

What remains: a repeat may run again when it arrives after the retention, or when the
dispatcher and two of the three holders lose their memory within the retention and
before another holder has copied the record. In a fleet of one the only gateway is
dispatcher and holder. A gateway that is frozen between the last check of the deadline
and the first byte to the upstream, for longer than the retention, sends late.
"Not run" in an answer is said of this try: where too few holders can be reached and no
visible gateway knows the key, an earlier try elsewhere may have run.
"""
