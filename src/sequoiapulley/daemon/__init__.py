"""The daemon that runs on every VM: its components, ports and command lines."""
