/* Host records and names of host states. */
#include "core/host_state.h"

#include <glib.h>

static const char *const state_names[HOST_STATE_COUNT] = {
    [HOST_SERVING] = "serving",     [HOST_DRAINING] = "draining",
    [HOST_REBOOTING] = "rebooting", [HOST_RETURNING] = "returning",
    [HOST_FAILED] = "failed",
};

struct host_record *
host_record_copy(const struct host_record *record)
{
    struct host_record *copy = g_new(struct host_record, 1);
    *copy = *record;
    copy->pool = g_strdup(record->pool);
    copy->dc = g_strdup(record->dc);
    copy->rack = g_strdup(record->rack);
    copy->target = g_strdup(record->target);
    copy->reason = g_strdup(record->reason);
    return copy;
}

void
host_record_destroy(struct host_record *record)
{
    if (record == NULL) {
        return;
    }
    g_free(record->pool);
    g_free(record->dc);
    g_free(record->rack);
    g_free(record->target);
    g_free(record->reason);
    g_free(record);
}

const char *
host_state_name(enum host_state state)
{
    return state_names[state];
}

bool
host_state_parse(const char *name, enum host_state *state)
{
    for (int i = 0; i < HOST_STATE_COUNT; i++) {
        if (g_strcmp0(name, state_names[i]) == 0) {
            *state = (enum host_state)i;
            return true;
        }
    }
    return false;
}

bool
host_state_accepts_work(enum host_state state)
{
    return state == HOST_SERVING || state == HOST_RETURNING;
}
