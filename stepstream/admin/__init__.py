"""The admin listener: operators' calls on an address of their own, `operator` in the settings.

Loaded only where that address is set; `docs/oncall.md` says how the calls are used.
"""
