"""Capacity figures at the size expected in two years, from fitted lines."""

import math
import statistics

from bench import slopes_sizes as sizes
from bench.slopes_fit import predict
from bench.slopes_restart import OUTAGE_SECONDS
from verbenapost.protocol import codec
from verbenapost.protocol.views import AppliedRevisions

#: Encoded size of one report of applied revisions, in bytes.
REPORT_BYTES = len(codec.encode(AppliedRevisions(1_000_000, 1_000_000)))

#: Rounds of a busy pool keeper, ticks of a queue and reads of the VM list, per
#: second.
KEEPER_ROUNDS = 4
QUEUE_TICKS = 20
VM_LIST_READS = 1

#: Maximum number of claims that one owner remembers, and seconds for which a
#: claim is remembered.
MAX_CLAIMS = 400_000
CLAIM_LIFETIME = 300


class FittedLines:
    """Figures of the fitted lines.

    :param results: content of ``bench/results/slopes.json``.
    """

    def __init__(self, results):
        self._lines = results['slopes']

    def evaluate(self, name, size):
        """Return the figure of a line at a size."""
        return predict(self._lines[name], size)

    def slope(self, name):
        """Return the slope of a line."""
        return self._lines[name]['slope']


def compute_queue(lines):
    """Return the figures of a queue owner."""
    targets = sizes.VMS_REGION // sizes.POOLS_REGION
    service_rate = sizes.REQUESTS / sizes.SERVICES_REGION
    pair = lines.evaluate('queue_pair_cpu', targets)
    pair_region = lines.evaluate('queue_pair_cpu', sizes.VMS_REGION)
    grants = targets * sizes.SLOTS
    held_bytes = sizes.FLOOD_WAITING * lines.slope(
        'queue_ask_bytes'
    ) + grants * lines.slope('queue_grant_bytes')
    rows = sizes.FLOOD_WAITING + grants
    tick = lines.evaluate('queue_tick_cpu', targets)
    return {
        'queue_targets': targets,
        'queue_rate': service_rate,
        'queue_pair_us': pair,
        'queue_cpu_normal': service_rate * pair / 1e4,
        'queue_cpu_flood': sizes.FLOOD_REQUESTS * pair / 1e4,
        'queue_pair_most': 1e6 / pair,
        'queue_pair_most_whole': 1e6 / pair_region,
        'queue_tick_cpu': tick * QUEUE_TICKS / 1e4,
        'queue_held_flood': held_bytes / 1e6,
        'queue_memory_share': held_bytes / sizes.MEMORY_BOUND * 100,
        'queue_rows': rows,
        'queue_rebuild_seconds': lines.evaluate('queue_rebuild_cpu', rows)
        / 1e6,
        'queue_rebuild_bytes': lines.evaluate('queue_rebuild_bytes', rows)
        / 1e6,
        'queue_change_us': lines.evaluate('queue_change_cpu', targets),
    }


def compute_entry(lines, relay, messages):
    """Return the figures of an entry."""
    cpu = statistics.median(row['entry_cpu_us'] for row in relay['rounds'])
    idle = statistics.median(row['cpu_share'] for row in relay['idle'])
    memory = statistics.median(row['resident_mb'] for row in relay['idle'])
    rate = sizes.REQUESTS / sizes.DAEMONS_REGION
    flood = sizes.FLOOD_REQUESTS / sizes.DAEMONS_REGION
    size = sum(messages.values())
    waiting = sizes.FLOOD_WAITING * lines.slope('entry_ask_bytes')
    return {
        'entry_cpu_us': cpu,
        'entry_idle_cpu': idle * 100,
        'entry_idle_cpu_share': idle / sizes.CPU_BOUND * 100,
        'entry_idle_memory': memory,
        'entry_idle_memory_share': memory * 1e6 / sizes.MEMORY_BOUND * 100,
        'entry_rate': rate,
        'entry_cpu_normal': rate * cpu / 1e4,
        'entry_cpu_flood': flood * cpu / 1e4,
        'entry_message_bytes': size,
        'entry_slot_bytes': rate * size / 1e3,
        'entry_slot_bytes_flood': flood * size / 1e3,
        'entry_waiting': waiting / sizes.DAEMONS_REGION / 1e6,
    }


def compute_claim_memory(results):
    """Return the memory of a full claim shard, scaled from one takeover."""
    row = results['claim_takeover_run']
    megabytes = row['memory_growth_megabytes'] / row['claims'] * MAX_CLAIMS
    idle = statistics.median(
        daemon['resident_mb'] for daemon in results['relay']['idle']
    )
    return {
        'claim_memory': megabytes,
        'claim_memory_share': (megabytes + idle)
        * 1e6
        / sizes.MEMORY_BOUND
        * 100,
    }


def compute_restart(results):
    """Return how many of the ten seconds after an outage have reads."""
    reads = results['restart_reads'][str(sizes.DAEMONS_REGION)]
    end = int(OUTAGE_SECONDS)
    return {
        'restart_spread': sum(1 for count in reads[end : end + 10] if count)
    }


def compute_claims(lines):
    """Return the figures of a claim owner."""
    rate = sizes.REQUESTS * sizes.CLAIMED_SHARE
    flood = sizes.FLOOD_REQUESTS
    held = rate * CLAIM_LIFETIME
    shards = -(-flood * CLAIM_LIFETIME // MAX_CLAIMS)
    writes = lines.evaluate('claim_writes', flood)
    return {
        'claim_rate': rate,
        'claim_held': held,
        'claim_held_share': held / MAX_CLAIMS * 100,
        'claim_writes_flood': writes,
        'claim_writes_share': writes / sizes.STORE_WRITES * 100,
        'claim_cpu_normal': lines.evaluate('claim_cpu', rate) / 1e4,
        'claim_cpu_flood': lines.evaluate('claim_cpu', flood) / 1e4,
        'claim_bytes_flood': lines.evaluate('claim_store_bytes', flood) / 1e3,
        'claim_full_after': MAX_CLAIMS / flood,
        'claim_most_rate': MAX_CLAIMS / CLAIM_LIFETIME,
        'claim_shards': shards,
        'claim_shard_writes': shards * writes,
        'claim_takeover': lines.evaluate('claim_takeover', held),
        'claim_takeover_full': lines.evaluate('claim_takeover', MAX_CLAIMS),
        'claim_ring': lines.evaluate('claim_ring_bytes', MAX_CLAIMS) / 1e6,
    }


def compute_keeper(lines, results):
    """Return the figures of a pool keeper."""
    vms = sizes.VMS_REGION
    moves = sizes.REPLACEMENTS_A_DAY / sizes.REGIONS
    # Probability of at least one replacement in progress, if replacements
    # begin independently of each other.
    busy = 1 - math.exp(-moves * sizes.REPLACEMENT_SECONDS / sizes.DAY)
    read = lines.evaluate('keeper_round_bytes', vms)
    listed = lines.evaluate('vm_list_bytes', vms)
    cpu = lines.evaluate('keeper_round_cpu', vms)
    solved = results['slopes']['solve_seconds']['points']
    largest = max(size for size, _ in solved)
    solve = [seconds for size, seconds in solved if size == largest]
    rounds = 1e6 / cpu
    return {
        'keeper_records': lines.evaluate('vm_record_bytes', vms) / 1e3,
        'keeper_moves': moves,
        'keeper_busy': busy * 100,
        'keeper_round_read': read / 1e3,
        'keeper_round_reads': lines.evaluate('keeper_round_reads', vms),
        'keeper_round_ms': cpu / 1e3,
        'keeper_rounds': min(rounds, KEEPER_ROUNDS),
        'keeper_read_busy': read * min(rounds, KEEPER_ROUNDS) / 1e6,
        'keeper_read_share': read
        * min(rounds, KEEPER_ROUNDS)
        / sizes.TRAFFIC_BOUND,
        'keeper_read_average': read * min(rounds, KEEPER_ROUNDS) * busy / 1e6,
        'keeper_cpu_busy': min(cpu * KEEPER_ROUNDS / 1e4, 100),
        'keeper_cpu_share': min(cpu * KEEPER_ROUNDS / 1e6, 1) / sizes.CPU_BOUND,
        'keeper_list': listed * VM_LIST_READS / 1e3,
        'keeper_list_share': listed * VM_LIST_READS / sizes.TRAFFIC_BOUND,
        'keeper_writes_day': moves * sizes.RECORD_CHANGES,
        'keeper_centre_writes': sizes.VMS_CENTRE,
        'solve_vms': largest,
        'solve_median': statistics.median(solve),
        'solve_most': max(solve),
    }


def compute_watch(lines):
    """Return the traffic of changed VM records and of the reports of them."""
    changes = sizes.REPLACEMENTS_A_DAY * sizes.RECORD_CHANGES / sizes.REGIONS
    record = lines.slope('vm_record_bytes')
    daemons = sizes.DAEMONS_REGION
    return {
        'watch_changes_day': changes,
        'watch_bytes': changes * record / sizes.DAY,
        'announce_bytes': changes * daemons * REPORT_BYTES / sizes.DAY,
        'announce_messages': changes * daemons / sizes.DAY,
        'report_bytes': REPORT_BYTES,
        'centre_reads': sizes.CENTRE_RATE * daemons,
        'centre_reads_share': sizes.CENTRE_RATE
        * daemons
        / sizes.STORE_READS
        * 100,
        'centre_bytes': sizes.CENTRE_RATE
        * (record + daemons * REPORT_BYTES)
        / 1e3,
        'centre_share': sizes.CENTRE_RATE
        * (record + daemons * REPORT_BYTES)
        / sizes.TRAFFIC_BOUND,
        'centre_seconds': sizes.VMS_CENTRE / sizes.CENTRE_RATE,
        'centre_most_daemons': sizes.STORE_READS / sizes.CENTRE_RATE,
    }


def compute_configuration(lines):
    """Return the figures of configuration changes."""
    teams = sizes.TEAMS
    key = lines.evaluate('config_key_bytes', sizes.AUDIT_ENTRIES)
    rate = sizes.CHANGES_A_DAY / sizes.DAY
    whole = teams * key
    apply_cpu = lines.evaluate('config_apply_cpu', teams)
    return {
        'config_key': key,
        'config_whole': whole / 1e6,
        'config_whole_bare': lines.evaluate('config_bytes', teams) / 1e6,
        'config_in': rate * key,
        'config_in_share': rate * key / sizes.TRAFFIC_BOUND * 100,
        'config_apply_bytes': whole / 1e6,
        'config_apply_ms': apply_cpu / 1e3,
        'config_apply_average': rate * whole / 1e3,
        'config_adopt_us': lines.evaluate('config_adopt_cpu', teams),
        'config_load_ms': lines.evaluate('config_load_cpu', teams) / 1e3,
        'config_cpu': rate * lines.evaluate('config_adopt_cpu', teams) / 1e4,
        'config_reports': rate * sizes.DAEMONS_REGION * REPORT_BYTES,
        'config_missed': sizes.CHANGES_A_DAY
        * sizes.PARTITION_SECONDS
        / sizes.DAY,
    }


def compute_members(lines):
    """Return the figures of membership and of a restart of a region."""
    daemons = sizes.DAEMONS_REGION
    sent = lines.evaluate('member_bytes', daemons)
    both_ways = 2 * sent
    most = (sizes.TRAFFIC_BOUND / 2 - lines.evaluate('member_bytes', 0)) / (
        lines.slope('member_bytes')
    )
    first = lines.evaluate('restart_first_second', daemons)
    return {
        'member_sent': sent,
        'member_both': both_ways,
        'member_share': both_ways / sizes.TRAFFIC_BOUND * 100,
        'member_sent_200': lines.evaluate('member_bytes', 200),
        'member_most': most,
        'member_cpu': lines.evaluate('member_cpu', daemons) / 1e4,
        'member_cpu_share': lines.evaluate('member_cpu', daemons)
        / 1e6
        / sizes.CPU_BOUND
        * 100,
        'member_calls': lines.evaluate('member_calls', daemons),
        'restart_first': first,
        'restart_peak': lines.evaluate('restart_after_outage', daemons),
        'restart_peak_200': lines.evaluate('restart_after_outage', 200),
        'restart_share': lines.evaluate('restart_after_outage', daemons)
        / sizes.STORE_READS
        * 100,
        'restart_bytes': daemons
        * lines.evaluate('vm_record_bytes', sizes.VMS_REGION)
        / 1e6,
    }


def compute(results):
    """Return all figures of the page by name.

    :param results: content of ``bench/results/slopes.json``.
    """
    lines = FittedLines(results)
    assumptions = {
        name.lower(): value
        for name, value in vars(sizes).items()
        if name.isupper()
    }
    return {
        **{f'size_{name}': value for name, value in assumptions.items()},
        **compute_queue(lines),
        **compute_entry(lines, results['relay'], results['messages']),
        **compute_claims(lines),
        **compute_claim_memory(results),
        **compute_restart(results),
        **compute_keeper(lines, results),
        **compute_watch(lines),
        **compute_configuration(lines),
        **compute_members(lines),
        'tool_cpu': results['tool_cpu_seconds']['median'],
        'seconds': results['seconds'],
    }
