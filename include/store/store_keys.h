/* Keys of the platform's key-value service that egretglade owns. */
#ifndef STORE_STORE_KEYS_H
#define STORE_STORE_KEYS_H

/*
 * Configuration: the head names the parts of the active generation. Parts are
 * written first and never changed; the head is replaced by compare-and-swap.
 *   head  {"generation": N, "id": "<apply id>", "previous": "<apply id>",
 *          "written_s": wall time, "author": "...", "summary": "...",
 *          "parts": {"base": "base/<hash>", "teams.07": "teams.07/<hash>"}}
 *   part  JSON text; its key ends with the first 16 hex digits of its SHA-256
 *   history/<generation, 12 digits>-<id>  copy of a head, written before the
 *                                         head itself
 */
#define STORE_KEY_CONFIG_HEAD "egretglade/config/head"
#define STORE_KEY_CONFIG_PARTS "egretglade/config/parts/"
#define STORE_KEY_CONFIG_HISTORY "egretglade/config/history/"

/*
 * Registered gateways, one record, changed only when one joins or leaves:
 *   {"epoch": N, "members": {"<incarnation>": {"name", "address",
 *    "peer_port", "http_port", "dc", "state": "live"|"fenced"|"gone",
 *    "lease_ms"}}}
 * "gone" is set by an operator who knows that the process has ended, in a
 * record with the next epoch; no two versions of the record share an epoch.
 */
#define STORE_KEY_MEMBERS "egretglade/members"

/*
 * Renewals of quorum leases, one record per incarnation, deleted when it is
 * fenced:
 *   {"beat": N, "lease_ms": L}
 * N is the number of the write, L the longest lease of a task at a backend
 * server.
 */
#define STORE_KEY_RENEWALS "egretglade/beats/"

/*
 * Permits, one record per team:
 *   {"write": "<incarnation>:<n>", "generation": G, "limit": L,
 *    "held": {"<incarnation>": H}}
 * G is the configuration generation that last changed the limit.
 */
#define STORE_KEY_PERMITS "egretglade/permits/"

/*
 * Host records, in HOST_SHARDS records "00", "01", ... by hash of the host's
 * name (core/host_shard.h, core/host_state.h):
 *   {"write": "<controller>:<n>", "hosts": {"<host>": {"pool", "dc",
 *    "rack", "state", "since_s", "reason", ...}}}
 *
 * Disruption records hold the voluntary disruptions, one record per pool:
 *   {"write": ..., "seen": {"<shard>": version},
 *    "disrupted": {"<host>": {"admission": N, "wave": N, "since_s",
 *                             "reason", "target"}}}
 * A host may drain only on an entry whose admission is above the one in its
 * host record. Starting to drain copies the number into the host record, so
 * that each entry is used once; the entry is removed afterwards. "seen" are
 * the versions of the host record shards that a controller must have read
 * before it admits more disruptions: from these versions on, the shards show
 * the moves whose entries were removed.
 *
 * Maintenance waves, one record each; the key is the number in decimal:
 *   {"write": "<operator or controller>:<n>",
 *    "number": N, "state": "running"|"paused"|"stopped"|"done",
 *    "select": {"pools": ["<pool>"], "dcs": ["<dc>"], "older_than_s": N},
 *    "started_s": wall time, "by": "<operator>",
 *    "total": N, "done": N, "ends_s": wall time, 0 for unknown,
 *    "waits": "<why the wave makes no progress>" or absent,
 *    "held_out": {"<host>": "<why>"}}
 * To start a wave, create (CAS on an absent key) the record of the highest
 * number found plus one; "select" members that are absent or empty match all
 * hosts. An operator changes "state" only, by CAS; the members from "total" on
 * are written by the controllers. "stopped" and "done" are final. If two waves
 * select the same pool, the one with the lower number runs first.
 *
 * State of the pools, one record, written by one of the controllers when it
 * has changed, at most every 30 s:
 *   {"write": ..., "at_s": wall time, "pools": {"<pool>": {"hosts",
 *    "usable", "incoming", "available", "disrupted", "failed", "budget",
 *    "reserve", "need", "spare", "demand_slots", "next_step", "waits_for",
 *    "finding"}}}
 * "next_step", "waits_for" and "finding" are texts and may be empty. Each
 * controller serves the same data at /v1/fleet on its own port, without delay.
 *
 * Demand and host state as gateways observe them, one record per gateway name,
 * written every 10 s whether it changed or not:
 *   {"write": "<incarnation>:<n>",
 *    "pools": {"<pool>": {"busy_slots": x, "queued": y, "run_ms": z,
 *                         "deadline_ms": d}},
 *    "draining": {"<host>": tasks running there},
 *    "suspects": {"<host>": consecutive failed tasks}}
 * busy_slots and queued are means over the interval, run_ms the mean run
 * time and deadline_ms the shortest start deadline of the pool's queues (0 or
 * absent: unknown).
 * "draining" lists every host that the gateway knows to be draining, with 0
 * when none of the gateway's tasks runs there. A host is removed from
 * "suspects" after its first successful task.
 */
#define STORE_KEY_HOSTS "egretglade/hosts/"
#define STORE_KEY_DISRUPTIONS "egretglade/disruptions/"
#define STORE_KEY_WAVES "egretglade/waves/"
#define STORE_KEY_FLEET_STATUS "egretglade/fleet/status"
#define STORE_KEY_DEMAND "egretglade/demand/"

enum {
    HOST_SHARDS = 16
};

#endif
