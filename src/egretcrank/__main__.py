"""Run the command line with ``python -m egretcrank``."""

from egretcrank.cli.main import main

if __name__ == "__main__":
    main(prog_name="egretcrank")
