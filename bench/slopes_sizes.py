"""Size expected in two years, and further assumptions."""

#: Seconds in a day.
DAY = 86_400

#: Numbers and time limits given by the users.
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

#: Bounds of one daemon for control: share of a core, bytes of memory, and
#: bytes per second of traffic.
CPU_BOUND = 0.028
MEMORY_BOUND = 256 * 10**6
TRAFFIC_BOUND = 3_000

#: Assumed rates of the platform's store in one region, in calls per second.
STORE_WRITES = 300
STORE_READS = 2_000

#: VMs and pools of one region, and VMs of one data centre.
VMS_REGION = -(-WORKERS // REGIONS)
POOLS_REGION = -(-POOLS // REGIONS)
VMS_CENTRE = WORKERS // DATA_CENTRES

#: Assumed numbers of daemons and services of one region.
DAEMONS_REGION = 36
SERVICES_REGION = 30

#: Assumed requests per second of one region, on average and in a flood.
REQUESTS = 2_000
FLOOD_REQUESTS = 10_000

#: Assumed share of requests that need a claim; in a flood all do.
CLAIMED_SHARE = 0.2

#: Slot requests that wait in one queue in a flood, the maximum of the queue.
FLOOD_WAITING = 10_000

#: Assumed slots of one VM.
SLOTS = 8

#: Assumed duration of one replacement of a VM, in seconds.
REPLACEMENT_SECONDS = 300

#: Record writes of one replacement of a VM, from failure to service.
RECORD_CHANGES = 4

#: Duration of a partition between regions, in seconds.
PARTITION_SECONDS = 3_600

#: Audit entries in the stored value of a document, on average.
AUDIT_ENTRIES = 30

#: VM changes per second that a pool keeper writes after the loss of a data
#: centre.
CENTRE_RATE = 50
