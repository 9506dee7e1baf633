"""The size of two years from now, and what is assumed beside it."""

#: Seconds of a day.
DAY = 86_400

#: Given by the users.
WORKERS = 5_200
ACCELERATORS = 11_000
POOLS = 65
TEAMS = 380
REGIONS = 6
DATA_CENTRES = 16
CHANGES_A_DAY = 2_900
FAILURES_A_DAY = 32
REPLACEMENTS_A_DAY = 1_200
MAINTENANCE_DAYS = 56
URGENT_SECONDS = 9.0
CHANGE_SECONDS = 17.0

#: Bounds of one daemon for control: share of a core, bytes, bytes a second.
CPU_BOUND = 0.028
MEMORY_BOUND = 256 * 10**6
TRAFFIC_BOUND = 3_000

#: Assumed rates of the platform's store of one region.
STORE_WRITES = 300
STORE_READS = 2_000

#: VMs, pools and VMs of a data centre in one region.
VMS_REGION = -(-WORKERS // REGIONS)
POOLS_REGION = -(-POOLS // REGIONS)
VMS_CENTRE = WORKERS // DATA_CENTRES

#: Assumed daemons and services of one region.
DAEMONS_REGION = 36
SERVICES_REGION = 30

#: Assumed requests a second of one region: on average and in a flood.
REQUESTS = 2_000
FLOOD_REQUESTS = 10_000

#: Assumed share of requests that need a claim; in the flood all do.
CLAIMED_SHARE = 0.2

#: Asks that wait at once in a flood, in one queue: its own bound.
FLOOD_WAITING = 10_000

#: Assumed slots of one VM.
SLOTS = 8

#: Assumed seconds that a VM is on its way in one replacement.
REPLACEMENT_SECONDS = 300

#: Record writes of one VM's replacement, from failure to service.
RECORD_CHANGES = 4

#: Seconds for which regions are cut from each other.
CUT_SECONDS = 3_600

#: Audit entries that a document's key holds on average.
KEPT_ENTRIES = 30

#: VM changes a second that a keeper writes while a data centre is lost.
CENTRE_RATE = 50
