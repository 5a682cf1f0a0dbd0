"""Process beside a runner: carries out orders, keeps leases, paces what fills."""
