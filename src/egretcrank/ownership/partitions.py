"""Mapping of keys to partitions and of partitions to work streams."""

from collections.abc import Iterable

import xxhash

from egretcrank.settings.schema import ClusterSettings


def find_partition(key: str, cluster: ClusterSettings) -> int:
    """Return the partition of an idempotency key."""
    return xxhash.xxh64_intdigest(key.encode()) % cluster.partitions


def find_job_partition(job: str, cluster: ClusterSettings) -> int | None:
    """Return the partition encoded in a job identifier.

    Returns ``None`` if the identifier is malformed or the partition does not exist.
    """
    prefix, separator, suffix = job.partition("-")
    if not separator or not suffix or not prefix.isdecimal():
        return None
    partition = int(prefix)
    return partition if partition < cluster.partitions else None


def find_shard(partition: int, cluster: ClusterSettings) -> int:
    """Return the shard whose work stream stores the records of ``partition``."""
    return partition % cluster.shards


def build_work_stream_name(shard: int) -> str:
    """Return the name of the work stream of ``shard``."""
    return f"work-{shard}"


def rank_hosts(partition: int, hosts: Iterable[str]) -> list[str]:
    """Order hosts by rendezvous hashing, the preferred host for ``partition`` first.

    See Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
    """
    return sorted(
        hosts,
        key=lambda host: (xxhash.xxh64_intdigest(f"{partition}/{host}".encode()), host),
        reverse=True,
    )
