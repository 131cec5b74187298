"""The admin listener: operators' requests on an address of their own, `operator` in the settings.

`routing` finds the action of a request line, `decisions` decides on the request, and `service`
carries the decision out. `listener` and `connection` do the I/O. `subsystem` connects these parts
with the node. The package is loaded only where that address is set; `docs/oncall.md` says how the
requests are used.
"""
