#include "store_faults.h"

#include "common/json_read.h"

enum {
    FAULT_MAX_MS = 600000,
    SEED_MAX = INT32_MAX,
};

static const char *const fault_names[] = {
    "down",
    "drop",
    "silence_watches",
    "lose_answers_percent",
    "delay_ms",
    "lag_hosts_ms",
    "seed",
    NULL,
};

bool
store_faults_read(struct store_faults *faults, JsonNode *root,
                  struct findings *findings)
{
    size_t before = findings_count(findings);
    struct store_faults next = *faults;
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = "faults",
        .path = "$",
        .findings = findings,
    };
    json_reject_unknown_members(&place, fault_names);
    next.down = json_read_bool(&place, "down", next.down);
    next.drop = json_read_bool(&place, "drop", next.drop);
    next.silence_watches =
        json_read_bool(&place, "silence_watches", next.silence_watches);
    next.lose_answers_percent =
        (uint32_t)json_read_int(&place, "lose_answers_percent", 0, 100,
                                next.lose_answers_percent, false);
    next.delay_ms = json_read_int(&place, "delay_ms", 0, FAULT_MAX_MS,
                                  next.delay_ms, false);
    next.lag_hosts_ms = json_read_int(&place, "lag_hosts_ms", 0, FAULT_MAX_MS,
                                      next.lag_hosts_ms, false);
    int64_t seed = json_read_int(&place, "seed", 0, SEED_MAX, -1, false);
    if (seed >= 0) {
        next.random = random_seeded((uint64_t)seed);
    }
    if (findings_count(findings) > before) {
        return false;
    }
    *faults = next;
    return true;
}

bool
store_faults_drop_response(struct store_faults *faults)
{
    return random_below(&faults->random, 100) < faults->lose_answers_percent;
}
