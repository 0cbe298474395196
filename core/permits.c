/* Plans changes of a team's permits record, and bounds what may run here while
 * the outcome of a write is unknown. */
#include "core/permits.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

enum {
    /* Demand is stored in thousandths of a permit. */
    MILLI = 1000,
    RISE_DIVISOR = 2,
    DECAY_DIVISOR = 32,
    /* Permits held beyond the demand, so that the next task need not wait for
     * one. */
    HEADROOM_PERMITS = 1,
};

/** struct permits_request - number of permits that a peer requested */
struct permits_request {
    char *peer;
    uint32_t count;
};

/**
 * struct permits_cap - upper bound on the usable permits while a write that
 * lowers the holding may still take effect. That is as long as @version, which
 * the write would replace, is the newest known
 */
struct permits_cap {
    bool active;
    uint32_t held;
    uint64_t version;
};

/**
 * struct permits - see the header
 * @record, @version: last known record; version 0 while there is none
 * @read: the record was read from the store at least once
 * @stale: the record has to be read again
 * @cap_before_write: cap to restore if the write was never sent
 * @pending: record of the write in progress, or NULL
 * @writes: number of the last write
 * @demand_milli: smoothed demand, thousandths of a permit
 * @requests: requests of peers since the last plan
 */
struct permits {
    char *self;
    uint32_t limit;
    uint64_t generation;
    struct permits_record *record;
    uint64_t version;
    bool read;
    bool stale;
    struct permits_cap cap;
    struct permits_cap cap_before_write;
    struct permits_record *pending;
    uint64_t writes;
    uint64_t demand_milli;
    bool releasing;
    GArray *requests;
};

static void
clear_request(void *item)
{
    struct permits_request *request = item;
    g_free(request->peer);
}

struct permits *
permits_create(const char *self)
{
    struct permits *permits = g_new0(struct permits, 1);
    permits->self = g_strdup(self);
    permits->record = permits_record_create();
    permits->stale = true;
    permits->requests =
        g_array_new(FALSE, FALSE, sizeof(struct permits_request));
    g_array_set_clear_func(permits->requests, clear_request);
    return permits;
}

void
permits_destroy(struct permits *permits)
{
    if (permits == NULL) {
        return;
    }
    permits_record_destroy(permits->record);
    permits_record_destroy(permits->pending);
    g_array_unref(permits->requests);
    g_free(permits->self);
    g_free(permits);
}

void
permits_set_limit(struct permits *permits, uint32_t limit, uint64_t generation)
{
    permits->limit = limit;
    permits->generation = generation;
}

void
permits_observe(struct permits *permits, uint32_t running, uint32_t queued)
{
    uint64_t demand = MIN((uint64_t)running + queued, permits->limit);
    uint64_t demand_milli = demand * MILLI;
    if (demand_milli > permits->demand_milli) {
        uint64_t rise_milli = demand_milli - permits->demand_milli;
        permits->demand_milli +=
            (rise_milli + RISE_DIVISOR - 1) / RISE_DIVISOR;
    }
    else {
        uint64_t fall_milli = permits->demand_milli - demand_milli;
        permits->demand_milli -=
            (fall_milli + DECAY_DIVISOR - 1) / DECAY_DIVISOR;
    }
}

static void
set_record(struct permits *permits, struct permits_record *record,
           uint64_t version)
{
    permits_record_destroy(permits->record);
    permits->record = record;
    permits->version = version;
    if (version > permits->cap.version) {
        permits->cap.active = false;
    }
}

void
permits_read(struct permits *permits, const struct permits_record *record,
             uint64_t version)
{
    permits->read = true;
    permits->stale = false;
    if (record != NULL && version > permits->version) {
        set_record(permits, permits_record_copy(record), version);
    }
}

void
permits_record_deleted(struct permits *permits)
{
    permits->cap = (struct permits_cap){0};
    set_record(permits, permits_record_create(), 0);
}

void
permits_peer_request(struct permits *permits, const char *peer, uint32_t count)
{
    for (guint i = 0; i < permits->requests->len; i++) {
        struct permits_request *known =
            &g_array_index(permits->requests, struct permits_request, i);
        if (strcmp(known->peer, peer) == 0) {
            known->count = count;
            return;
        }
    }
    struct permits_request request = {g_strdup(peer), count};
    g_array_append_val(permits->requests, request);
}

static uint32_t
held_here(const struct permits *permits)
{
    return permits_record_held(permits->record, permits->self);
}

/* Whether the configuration here is newer than the record and has another
 * limit. */
static bool
limit_is_newer(const struct permits *permits)
{
    return permits->version == 0 ||
           (permits->generation > permits->record->generation &&
            permits->limit != permits->record->limit);
}

/* Whether the team may start no task because its limit is being lowered. */
static bool
is_blocked(const struct permits *permits)
{
    bool unwritten =
        limit_is_newer(permits) && permits->limit < permits->record->limit;
    return unwritten ||
           permits_record_sum(permits->record) > permits->record->limit;
}

uint32_t
permits_usable(const struct permits *permits)
{
    if (permits->version == 0 || is_blocked(permits)) {
        return 0;
    }
    uint32_t held = held_here(permits);
    return permits->cap.active ? MIN(held, permits->cap.held) : held;
}

bool
permits_stale(const struct permits *permits)
{
    return permits->stale && permits->pending == NULL;
}

/* Permits that the recent demand on this gateway calls for. */
static uint32_t
wanted_permits(const struct permits *permits)
{
    uint64_t demand = (permits->demand_milli + MILLI - 1) / MILLI;
    uint64_t with_headroom = demand == 0 ? 0 : demand + HEADROOM_PERMITS;
    return (uint32_t)MIN(with_headroom, permits->record->limit);
}

/* Equal share of the limit, which gateways without demand hold as well. */
static uint32_t
equal_share(const struct permits_record *record,
            const struct permits_fleet *fleet)
{
    if (fleet->n_live == 0) {
        return 0;
    }
    uint32_t share = record->limit / fleet->n_live;
    return share + (fleet->rank < record->limit % fleet->n_live ? 1 : 0);
}

static void
apply_limit(const struct permits *permits, struct permits_record *next)
{
    if (limit_is_newer(permits)) {
        next->limit = permits->limit;
        next->generation = permits->generation;
    }
}

static void
apply_reclaims(const struct permits *permits, struct permits_record *next,
               const struct permits_fleet *fleet)
{
    for (size_t i = next->n_holdings; i > 0; i--) {
        const char *incarnation = next->holdings[i - 1].incarnation;
        if (strcmp(incarnation, permits->self) != 0 &&
            fleet->reclaimable(fleet->ctx, incarnation)) {
            permits_record_set(next, incarnation, 0);
        }
    }
}

static void
return_excess(const struct permits *permits, struct permits_record *next,
              uint32_t running)
{
    uint32_t held = permits_record_held(next, permits->self);
    uint64_t sum = permits_record_sum(next);
    uint64_t excess = sum > next->limit ? sum - next->limit : 0;
    uint32_t unused = held > running ? held - running : 0;
    uint32_t back =
        permits->releasing ? unused : (uint32_t)MIN(unused, excess);
    permits_record_set(next, permits->self, held - back);
}

static void
grant_requests(const struct permits *permits, struct permits_record *next,
               const struct permits_fleet *fleet, uint32_t running)
{
    uint32_t min_held = next->limit >= fleet->n_live ? 1 : 0;
    uint32_t own_min = MAX(MAX(wanted_permits(permits), running), min_held);
    for (guint i = 0; i < permits->requests->len; i++) {
        const struct permits_request *request =
            &g_array_index(permits->requests, struct permits_request, i);
        uint32_t held = permits_record_held(next, permits->self);
        if (held <= own_min) {
            return;
        }
        if (fleet->is_live(fleet->ctx, request->peer)) {
            uint32_t grant = MIN(request->count, held - own_min);
            uint32_t there = permits_record_held(next, request->peer);
            permits_record_set(next, permits->self, held - grant);
            permits_record_set(next, request->peer, there + grant);
        }
    }
}

static void
take_unheld(const struct permits *permits, struct permits_record *next,
            const struct permits_fleet *fleet)
{
    uint32_t held = permits_record_held(next, permits->self);
    uint32_t target = MAX(wanted_permits(permits), equal_share(next, fleet));
    uint64_t sum = permits_record_sum(next);
    if (held >= target || sum >= next->limit) {
        return;
    }
    uint64_t unheld = next->limit - sum;
    permits_record_set(next, permits->self,
                       held + (uint32_t)MIN(unheld, target - held));
}

static struct permits_record *
plan_record(const struct permits *permits, uint32_t running,
            const struct permits_fleet *fleet)
{
    struct permits_record *next = permits_record_copy(permits->record);
    apply_limit(permits, next);
    apply_reclaims(permits, next, fleet);
    return_excess(permits, next, running);
    bool lowering = permits_record_sum(next) > next->limit;
    if (!permits->releasing && !lowering) {
        grant_requests(permits, next, fleet, running);
        take_unheld(permits, next, fleet);
    }
    return next;
}

static bool
same_holdings(const struct permits_record *a, const struct permits_record *b)
{
    if (a->n_holdings != b->n_holdings) {
        return false;
    }
    for (size_t i = 0; i < a->n_holdings; i++) {
        if (a->holdings[i].held != b->holdings[i].held ||
            strcmp(a->holdings[i].incarnation, b->holdings[i].incarnation) !=
                0) {
            return false;
        }
    }
    return true;
}

static bool
same_content(const struct permits_record *a, const struct permits_record *b)
{
    return a->limit == b->limit && a->generation == b->generation &&
           same_holdings(a, b);
}

/* Caps the usable permits at @planned, or at an active lower cap, until the
 * version changes. */
static void
cap_at(struct permits *permits, uint32_t planned)
{
    if (permits->cap.active) {
        planned = MIN(planned, permits->cap.held);
    }
    permits->cap = (struct permits_cap){true, planned, permits->version};
}

bool
permits_plan(struct permits *permits, uint32_t running,
             const struct permits_fleet *fleet, struct permits_write *write)
{
    if (permits->pending != NULL || !permits->read || permits->stale) {
        return false;
    }
    struct permits_record *next = plan_record(permits, running, fleet);
    g_array_set_size(permits->requests, 0);
    /* Only a write that raises the version ends a cap, so the record is
     * written even if it is unchanged. */
    if (same_content(next, permits->record) && !permits->cap.active) {
        permits_record_destroy(next);
        return false;
    }
    uint32_t planned = permits_record_held(next, permits->self);
    permits->cap_before_write = permits->cap;
    if (permits->version > 0 && planned < held_here(permits)) {
        cap_at(permits, planned);
    }
    g_free(next->write);
    next->write =
        g_strdup_printf("%s:%" PRIu64, permits->self, ++permits->writes);
    permits->pending = next;
    *write = (struct permits_write){next, permits->version};
    return true;
}

void
permits_written(struct permits *permits, enum permits_write_result result,
                uint64_t version)
{
    struct permits_record *pending = permits->pending;
    permits->pending = NULL;
    switch (result) {
    case PERMITS_WRITTEN:
        if (version > permits->version) {
            set_record(permits, pending, version);
            return;
        }
        break;
    case PERMITS_NOT_SENT:
        permits->cap = permits->cap_before_write;
        break;
    case PERMITS_REFUSED:
    case PERMITS_UNKNOWN:
        permits->stale = true;
        break;
    }
    permits_record_destroy(pending);
}

uint32_t
permits_shortage(const struct permits *permits,
                 const struct permits_fleet *fleet)
{
    if (permits->version == 0 || permits->releasing || is_blocked(permits)) {
        return 0;
    }
    uint32_t min_held = permits->record->limit >= fleet->n_live ? 1 : 0;
    uint32_t target = MAX(wanted_permits(permits), min_held);
    uint32_t held = held_here(permits);
    return target > held ? target - held : 0;
}

void
permits_refresh(struct permits *permits)
{
    permits->stale = true;
}

bool
permits_incarnation_holds(const struct permits *permits,
                          const char *incarnation)
{
    return permits_record_held(permits->record, incarnation) > 0;
}

const struct permits_record *
permits_record(const struct permits *permits)
{
    return permits->version == 0 ? NULL : permits->record;
}

void
permits_release(struct permits *permits)
{
    permits->releasing = true;
}
