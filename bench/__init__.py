"""Stand-ins, load tool and benches; never imported by the daemons."""
