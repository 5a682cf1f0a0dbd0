"""Parts that the scripts of cases 6 to 10 share: a runner, daemons, and a client."""
