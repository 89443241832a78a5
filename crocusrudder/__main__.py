"""Run the command line: ``python -m crocusrudder``."""

from crocusrudder.management import cli

if __name__ == "__main__":
    cli.main()
