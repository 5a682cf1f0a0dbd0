"""Controller process: accepts jobs and, while elected, leads a cell."""
