"""The admin listener: operators' requests on an address of their own, `operator` in the settings.

`routing` finds the action of a request line, `decisions` decides, `service` carries the decision
out, `listener` and `connection` do the I/O, and `subsystem` plugs all of it into the node.
Loaded only where that address is set; `docs/oncall.md` says how the requests are used.
"""
