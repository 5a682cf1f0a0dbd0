"""Process that accepts jobs and, if it is elected, leads a cell."""
