"""Agent process beside a runner: executes orders, renews leases, paces tasks."""
