"""Load benchmark of the real daemons with stand-in engines on one machine."""
