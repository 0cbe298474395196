/*
 * Which of the backend servers that name a host is its current incarnation.
 * An entry may be outdated or of another writer, so it ends nothing that still
 * answers: that needs an answer of the new incarnation, or an entry of it that
 * appeared later and silence of the old one. Start times are by the clocks of
 * the hosts, which may be set back, so they decide nothing that answers tell.
 */
#include "core/jobs/scheduler.h"

#include "common/text.h"
#include "scheduler_state.h"

/* Whether it has answered a request that was sent at @since_ms or later. Of
 * two incarnations only the later one can, once both have been seen. */
static bool
answered_since(const struct backend *backend, int64_t since_ms)
{
    return backend->answered_request_ms >= since_ms;
}

bool
sched_backend_contested(const struct backend *backend)
{
    return backend->contested_ms != 0 &&
           !answered_since(backend, backend->contested_ms);
}

static bool
holds_nothing(const struct backend *backend)
{
    return backend->runs->len == 0 && backend->strays->len == 0 &&
           !backend->unreconciled;
}

/* Whether the entry of @later is the newer one. Changes are read in the order
 * in which they were made; entries that are read at once, such as those that a
 * new leader finds, tell nothing of theirs. */
static bool
appeared_after(const struct backend *later, const struct backend *earlier)
{
    return later->seen_tick > earlier->seen_tick;
}

/* Spare backend servers are not asked for reports. */
static bool
is_spare(const struct scheduler *sched, const struct backend *backend)
{
    const struct pool_config *pool = sched_pool_config(sched, backend->pool);
    return pool != NULL && pool->spare;
}

static enum incarnation
compare(const struct scheduler *sched, const struct host *host,
        const struct backend *current, struct backend *other)
{
    if (answered_since(other, current->seen_ms)) {
        return INCARNATION_CURRENT;
    }
    if (other->superseded) {
        return current->unresponsive ? INCARNATION_OPEN : INCARNATION_ENDED;
    }
    bool answers = answered_since(current, other->seen_ms);
    if (other->entry.incarnation_start_ms <
        current->entry.incarnation_start_ms) {
        bool lost = other->unresponsive && !holds_nothing(other) &&
                    appeared_after(current, other);
        return answers || lost ? INCARNATION_ENDED : INCARNATION_OPEN;
    }
    /* One that was seen before says nothing of the command. */
    if (sched_host_ended_by_command(host) &&
        other->seen_ms >= host->intent_ms) {
        return INCARNATION_CURRENT;
    }
    other->claim_refuted = other->claim_refuted || answers;
    bool silent = current->unresponsive && appeared_after(other, current);
    bool gone = silent || (is_spare(sched, other) && holds_nothing(current));
    return gone && !other->claim_refuted ? INCARNATION_CURRENT
                                         : INCARNATION_OPEN;
}

/* Both are asked. The current one takes nothing until it has answered. */
static void
contend(struct scheduler *sched, struct backend *current,
        struct backend *other)
{
    if (g_ptr_array_find(sched->contenders, other, NULL)) {
        return;
    }
    g_ptr_array_add(sched->contenders, other);
    sched_log_event(sched, "incarnation_open",
                    "\"host\":%s,\"current\":\"%s\","
                    "\"started\":%" G_GINT64_FORMAT ",\"other\":\"%s\","
                    "\"other_started\":%" G_GINT64_FORMAT,
                    text_quote(other->entry.host), current->entry.id,
                    current->entry.incarnation_start_ms, other->entry.id,
                    other->entry.incarnation_start_ms);
    if (!other->claim_refuted) {
        current->contested_ms = sched_now(sched);
        current->report_received = false;
        sched_backend_changed(sched, current);
        sched_report_at_once(sched, current);
    }
}

enum incarnation
sched_incarnation_compare(struct scheduler *sched, const struct host *host,
                          struct backend *current, struct backend *other)
{
    enum incarnation result = compare(sched, host, current, other);
    if (result == INCARNATION_OPEN) {
        contend(sched, current, other);
    }
    else {
        g_ptr_array_remove_fast(sched->contenders, other);
    }
    return result;
}

void
sched_settle_incarnations(struct scheduler *sched)
{
    for (guint i = sched->contenders->len; i > 0; i--) {
        struct backend *other = g_ptr_array_index(sched->contenders, i - 1);
        /* Its entry may name no host any more. */
        const struct host *host =
            other->entry.host == NULL
                ? NULL
                : sched_host_find_or_add(sched, other->entry.host);
        if (host == NULL || (!other->listed && !other->unreconciled) ||
            sched_host_backend(sched, host) == other) {
            g_ptr_array_remove_index_fast(sched->contenders, i - 1);
            continue;
        }
        sched_host_incarnation(sched, other);
    }
}

bool
sched_report_outdated(const struct backend *backend,
                      const struct run_report *report)
{
    return report->incarnation_start_ms != 0 &&
           (report->incarnation_start_ms == backend->previous_start_ms ||
            report->incarnation_start_ms <
                backend->entry.incarnation_start_ms);
}

bool
sched_clock_set_back(struct backend *backend, const struct run_report *report)
{
    if (report->request.sent_ms < backend->seen_ms ||
        report->incarnation_start_ms == backend->previous_start_ms) {
        return false;
    }
    if (backend->earlier_start_ms == report->incarnation_start_ms) {
        return true;
    }
    backend->earlier_start_ms = report->incarnation_start_ms;
    return false;
}
