"""Figures of the size of two years from now, from slopes."""

import math
import statistics

from bench import slopes_sizes as sizes
from bench.slopes_fit import predict
from bench.slopes_restart import OUTAGE
from verbenapost.protocol import codec
from verbenapost.protocol.views import AppliedViews

#: Bytes of one report of applied views.
REPORT_BYTES = len(codec.encode(AppliedViews(1_000_000, 1_000_000)))

#: Rounds of a busy keeper, ticks of a queue, and readings of the VM list, a
#: second.
ROUNDS = 4
TICKS = 20
LISTINGS = 1

#: Bound of the claims that one owner remembers, and seconds of their life.
MAX_CLAIMS = 400_000
CLAIM_LIFE = 300


class Lines:
    """Measured lines, read at a size."""

    def __init__(self, results):
        self._lines = results['slopes']

    def at(self, name, size):
        """Return the figure at a size."""
        return predict(self._lines[name], size)

    def slope(self, name):
        """Return a slope."""
        return self._lines[name]['slope']


def compute_queue(lines):
    """Return the figures of a queue owner."""
    targets = sizes.VMS_REGION // sizes.POOLS_REGION
    share = sizes.REQUESTS / sizes.SERVICES_REGION
    pair = lines.at('queue_pair_cpu', targets)
    whole = lines.at('queue_pair_cpu', sizes.VMS_REGION)
    grants = targets * sizes.SLOTS
    held = sizes.FLOOD_WAITING * lines.slope(
        'queue_ask_bytes'
    ) + grants * lines.slope('queue_grant_bytes')
    rows = sizes.FLOOD_WAITING + grants
    tick = lines.at('queue_tick_cpu', targets)
    return {
        'queue_targets': targets,
        'queue_rate': share,
        'queue_pair_us': pair,
        'queue_cpu_normal': share * pair / 1e4,
        'queue_cpu_flood': sizes.FLOOD_REQUESTS * pair / 1e4,
        'queue_pair_most': 1e6 / pair,
        'queue_pair_most_whole': 1e6 / whole,
        'queue_tick_cpu': tick * TICKS / 1e4,
        'queue_held_flood': held / 1e6,
        'queue_memory_share': held / sizes.MEMORY_BOUND * 100,
        'queue_rows': rows,
        'queue_rebuild_seconds': lines.at('queue_rebuild_cpu', rows) / 1e6,
        'queue_rebuild_bytes': lines.at('queue_rebuild_bytes', rows) / 1e6,
        'queue_change_us': lines.at('queue_change_cpu', targets),
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
    """Return the memory of a full claim shard, from one takeover."""
    row = results['claim_takeover_run']
    held = row['memory_growth_megabytes'] / row['claims'] * MAX_CLAIMS
    idle = statistics.median(
        daemon['resident_mb'] for daemon in results['relay']['idle']
    )
    return {
        'claim_memory': held,
        'claim_memory_share': (held + idle) * 1e6 / sizes.MEMORY_BOUND * 100,
    }


def compute_restart(results):
    """Return the seconds after an outage in which daemons read."""
    reads = results['restart_reads'][str(sizes.DAEMONS_REGION)]
    end = int(OUTAGE)
    return {
        'restart_spread': sum(1 for count in reads[end : end + 10] if count)
    }


def compute_claims(lines):
    """Return the figures of a claim owner."""
    rate = sizes.REQUESTS * sizes.CLAIMED_SHARE
    flood = sizes.FLOOD_REQUESTS
    held = rate * CLAIM_LIFE
    shards = -(-flood * CLAIM_LIFE // MAX_CLAIMS)
    writes = lines.at('claim_writes', flood)
    return {
        'claim_rate': rate,
        'claim_held': held,
        'claim_held_share': held / MAX_CLAIMS * 100,
        'claim_writes_flood': writes,
        'claim_writes_share': writes / sizes.STORE_WRITES * 100,
        'claim_cpu_normal': lines.at('claim_cpu', rate) / 1e4,
        'claim_cpu_flood': lines.at('claim_cpu', flood) / 1e4,
        'claim_bytes_flood': lines.at('claim_store_bytes', flood) / 1e3,
        'claim_full_after': MAX_CLAIMS / flood,
        'claim_most_rate': MAX_CLAIMS / CLAIM_LIFE,
        'claim_shards': shards,
        'claim_shard_writes': shards * writes,
        'claim_takeover': lines.at('claim_takeover', held),
        'claim_takeover_full': lines.at('claim_takeover', MAX_CLAIMS),
        'claim_ring': lines.at('claim_ring_bytes', MAX_CLAIMS) / 1e6,
    }


def compute_keeper(lines, results):
    """Return the figures of a pool keeper."""
    vms = sizes.VMS_REGION
    moves = sizes.REPLACEMENTS_A_DAY / sizes.REGIONS
    # Replacements begin independently of each other.
    busy = 1 - math.exp(-moves * sizes.REPLACEMENT_SECONDS / sizes.DAY)
    read = lines.at('keeper_round_bytes', vms)
    listed = lines.at('vm_list_bytes', vms)
    cpu = lines.at('keeper_round_cpu', vms)
    solved = results['slopes']['solve_seconds']['points']
    largest = max(size for size, _ in solved)
    solve = [seconds for size, seconds in solved if size == largest]
    rounds = 1e6 / cpu
    return {
        'keeper_records': lines.at('vm_record_bytes', vms) / 1e3,
        'keeper_moves': moves,
        'keeper_busy': busy * 100,
        'keeper_round_read': read / 1e3,
        'keeper_round_reads': lines.at('keeper_round_reads', vms),
        'keeper_round_ms': cpu / 1e3,
        'keeper_rounds': min(rounds, ROUNDS),
        'keeper_read_busy': read * min(rounds, ROUNDS) / 1e6,
        'keeper_read_share': read * min(rounds, ROUNDS) / sizes.TRAFFIC_BOUND,
        'keeper_read_average': read * min(rounds, ROUNDS) * busy / 1e6,
        'keeper_cpu_busy': min(cpu * ROUNDS / 1e4, 100),
        'keeper_cpu_share': min(cpu * ROUNDS / 1e6, 1) / sizes.CPU_BOUND,
        'keeper_list': listed * LISTINGS / 1e3,
        'keeper_list_share': listed * LISTINGS / sizes.TRAFFIC_BOUND,
        'keeper_writes_day': moves * sizes.RECORD_CHANGES,
        'keeper_centre_writes': sizes.VMS_CENTRE,
        'solve_vms': largest,
        'solve_median': statistics.median(solve),
        'solve_most': max(solve),
    }


def compute_watch(lines):
    """Return the traffic of VM records and their reports."""
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
    """Return the figures of the configuration."""
    teams = sizes.TEAMS
    key = lines.at('config_key_bytes', sizes.KEPT_ENTRIES)
    rate = sizes.CHANGES_A_DAY / sizes.DAY
    whole = teams * key
    change = lines.at('config_apply_cpu', teams)
    return {
        'config_key': key,
        'config_whole': whole / 1e6,
        'config_whole_bare': lines.at('config_bytes', teams) / 1e6,
        'config_in': rate * key,
        'config_in_share': rate * key / sizes.TRAFFIC_BOUND * 100,
        'config_apply_bytes': whole / 1e6,
        'config_apply_ms': change / 1e3,
        'config_apply_average': rate * whole / 1e3,
        'config_adopt_us': lines.at('config_adopt_cpu', teams),
        'config_load_ms': lines.at('config_load_cpu', teams) / 1e3,
        'config_cpu': rate * lines.at('config_adopt_cpu', teams) / 1e4,
        'config_reports': rate * sizes.DAEMONS_REGION * REPORT_BYTES,
        'config_missed': sizes.CHANGES_A_DAY * sizes.CUT_SECONDS / sizes.DAY,
    }


def compute_members(lines):
    """Return the figures of membership and of a restart."""
    daemons = sizes.DAEMONS_REGION
    sent = lines.at('member_bytes', daemons)
    both = 2 * sent
    most = (sizes.TRAFFIC_BOUND / 2 - lines.at('member_bytes', 0)) / (
        lines.slope('member_bytes')
    )
    first = lines.at('restart_first_second', daemons)
    return {
        'member_sent': sent,
        'member_both': both,
        'member_share': both / sizes.TRAFFIC_BOUND * 100,
        'member_sent_200': lines.at('member_bytes', 200),
        'member_most': most,
        'member_cpu': lines.at('member_cpu', daemons) / 1e4,
        'member_cpu_share': lines.at('member_cpu', daemons)
        / 1e6
        / sizes.CPU_BOUND
        * 100,
        'member_calls': lines.at('member_calls', daemons),
        'restart_first': first,
        'restart_peak': lines.at('restart_after_outage', daemons),
        'restart_peak_200': lines.at('restart_after_outage', 200),
        'restart_share': lines.at('restart_after_outage', daemons)
        / sizes.STORE_READS
        * 100,
        'restart_bytes': daemons
        * lines.at('vm_record_bytes', sizes.VMS_REGION)
        / 1e6,
    }


def compute(results):
    """Return all figures of the page by name."""
    lines = Lines(results)
    given = {
        name.lower(): value
        for name, value in vars(sizes).items()
        if name.isupper()
    }
    return {
        **{f'size_{name}': value for name, value in given.items()},
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
