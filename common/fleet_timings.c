#include "common/fleet_timings.h"

#include <stddef.h>

enum {
    TIME_MAX_MS = 604800000,
};

/**
 * struct timing - one member of the "fleet" settings object
 * @name: name of the setting
 * @offset: offset of the member of struct fleet_timings
 */
struct timing {
    const char *name;
    size_t offset;
    int64_t default_ms;
};

static const struct timing timing_table[] = {
    {"tick_ms", offsetof(struct fleet_timings, tick_ms), 1000},
    {"turn_ms", offsetof(struct fleet_timings, stagger_max_ms), 3000},
    {"list_stale_ms", offsetof(struct fleet_timings, list_stale_ms), 5000},
    {"demand_poll_ms", offsetof(struct fleet_timings, demand_poll_ms), 10000},
    {"demand_stale_ms", offsetof(struct fleet_timings, demand_stale_ms),
     45000},
    {"drain_margin_ms", offsetof(struct fleet_timings, drain_margin_ms),
     15000},
    {"lost_ms", offsetof(struct fleet_timings, fail_after_ms), 60000},
    {"prove_ms", offsetof(struct fleet_timings, recovery_ms), 30000},
    {"return_ms", offsetof(struct fleet_timings, reboot_timeout_ms), 900000},
    {"repair_ms", offsetof(struct fleet_timings, suspect_hold_ms), 1800000},
    {"settle_ms", offsetof(struct fleet_timings, wave_skip_ms), 120000},
    {"patience_ms", offsetof(struct fleet_timings, load_wait_max_ms), 3600000},
    {"surplus_ms", offsetof(struct fleet_timings, surplus_hold_ms), 3600000},
    {"smooth_ms", offsetof(struct fleet_timings, demand_smoothing_ms), 600000},
    {"retire_ms", offsetof(struct fleet_timings, record_retention_ms),
     86400000},
};

static int64_t *
member_of(struct fleet_timings *timings, const struct timing *timing)
{
    return (int64_t *)((char *)timings + timing->offset);
}

struct fleet_timings
fleet_timings_default(void)
{
    struct fleet_timings timings;
    for (size_t i = 0; i < G_N_ELEMENTS(timing_table); i++) {
        *member_of(&timings, &timing_table[i]) = timing_table[i].default_ms;
    }
    return timings;
}

struct fleet_timings
fleet_timings_read(const struct json_place *place)
{
    struct fleet_timings timings;
    const char *names[G_N_ELEMENTS(timing_table) + 1] = {NULL};
    for (size_t i = 0; i < G_N_ELEMENTS(timing_table); i++) {
        const struct timing *timing = &timing_table[i];
        names[i] = timing->name;
        *member_of(&timings, timing) = json_read_int(
            place, timing->name, 1, TIME_MAX_MS, timing->default_ms, false);
    }
    json_reject_unknown_members(place, names);
    return timings;
}
