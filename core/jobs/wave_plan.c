/*
 * Plans maintenance waves: every host within the time of its wave, never more
 * than allowed at once, and hosts of pools between their peaks first.
 */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

enum {
    /* Time to empty a host: short tasks end in about this time. */
    EMPTY_HOST_MS = 2000,
    /* While more slack than this is left, hosts of busy pools wait for a
     * quieter time. */
    WAVE_SLACK_MS = 12000,
    WAVE_DEFAULT_DURATION_MS = 20000,
};

/* Above this utilisation of its pool a host is rebooted only if time runs
 * out. */
static const double BUSY_POOL_FRACTION = 0.6;

struct wave *
sched_find_wave(const struct scheduler *sched, int64_t number)
{
    for (guint i = 0; number != 0 && i < sched->waves->len; i++) {
        struct wave *wave = g_ptr_array_index(sched->waves, i);
        if (wave->number == number) {
            return wave;
        }
    }
    return NULL;
}

static struct wave *
find_or_add(struct scheduler *sched, int64_t number)
{
    struct wave *wave = sched_find_wave(sched, number);
    if (wave == NULL) {
        wave = g_new0(struct wave, 1);
        wave->number = number;
        wave->hosts = g_ptr_array_new_with_free_func(g_free);
        wave->started =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_ptr_array_add(sched->waves, wave);
    }
    return wave;
}

void
scheduler_wave_set(struct scheduler *sched, const struct host_wave *request)
{
    struct wave *wave = find_or_add(sched, request->number);
    int64_t within_ms = request->within_ms > 0
                            ? request->within_ms
                            : (int64_t)WAVE_DEFAULT_DURATION_MS;
    wave->max_unavailable = MAX(request->max_unavailable, 1);
    wave->complete_by_ms = request->seen_ms + within_ms;
    wave->seen_ms = request->seen_ms;
    g_ptr_array_set_size(wave->hosts, 0);
    for (char **host = request->hosts; *host != NULL; host++) {
        g_ptr_array_add(wave->hosts, g_strdup(*host));
        sched_host_find_or_add(sched, *host);
    }
}

void
scheduler_wave_host_started(struct scheduler *sched, int64_t number,
                            const char *host)
{
    g_hash_table_add(find_or_add(sched, number)->started, g_strdup(host));
}

char *
scheduler_wave_started_hosts(const struct scheduler *sched, int64_t number)
{
    const struct wave *wave = sched_find_wave(sched, number);
    GString *text = g_string_new(NULL);
    for (guint i = 0; wave != NULL && i < wave->hosts->len; i++) {
        const char *host = g_ptr_array_index(wave->hosts, i);
        if (g_hash_table_contains(wave->started, host)) {
            text_list_add(text, host);
        }
    }
    return g_string_free(text, FALSE);
}

/* Number of hosts still to be maintained; one that left the fleet doesn't
 * count. */
static uint32_t
hosts_left(const struct scheduler *sched, const struct wave *wave)
{
    uint32_t left = 0;
    for (guint i = 0; i < wave->hosts->len; i++) {
        const char *name = g_ptr_array_index(wave->hosts, i);
        const struct host *host = g_hash_table_lookup(sched->hosts, name);
        if (!g_hash_table_contains(wave->started, name) &&
            !sched_host_gone(sched, host)) {
            left++;
        }
    }
    return left;
}

bool
scheduler_wave_done(const struct scheduler *sched, int64_t number)
{
    const struct wave *wave = sched_find_wave(sched, number);
    /* The lists before say nothing of hosts that joined since. */
    return wave != NULL && sched->hosts_read &&
           sched->hosts_requested_ms >= wave->seen_ms &&
           hosts_left(sched, wave) == 0;
}

/* Whether so few other tasks of the step are unavailable that this run may be
 * stopped. */
bool
sched_run_may_stop(const struct run *run)
{
    const struct job_step *step = run_step(run);
    if (step->max_unavailable == 0) {
        return true;
    }
    const struct step_progress *progress =
        job_step_progress(run->job, run->occurrence, run->step);
    uint32_t unavailable = 0;
    for (uint32_t t = 0; t < step->task_count; t++) {
        const struct run *other = progress->tasks[t].run;
        if (other == run) {
            continue;
        }
        if (other == NULL || other->state != RUN_WORKING ||
            other->percent < 100 || other->backend->unresponsive) {
            unavailable++;
        }
    }
    return unavailable < step->max_unavailable;
}

/* Whether a reboot that the previous leader has sent may still be carried out.
 * An incarnation that started since may be a restart of its own. */
static bool
may_be_rebooted(const struct scheduler *sched, const struct wave *wave,
                const struct host *host)
{
    return host->commanded_before &&
           sched_now(sched) < sched->takeover_ms + LATE_COMMAND_MS &&
           !g_hash_table_contains(wave->started, host->name);
}

static uint32_t
hosts_unavailable(const struct scheduler *sched, const struct wave *wave)
{
    uint32_t unavailable = 0;
    for (guint i = 0; i < wave->hosts->len; i++) {
        const struct host *host = g_hash_table_lookup(
            sched->hosts, g_ptr_array_index(wave->hosts, i));
        if (!sched_host_gone(sched, host) &&
            (host->intent == HOST_REBOOTS || !host->up ||
             may_be_rebooted(sched, wave, host))) {
            unavailable++;
        }
    }
    return unavailable;
}

/* Lower is better; a host without work comes first. */
static double
reboot_cost(struct scheduler *sched, const struct host *host)
{
    const struct backend *backend = sched_host_backend(sched, host);
    if (backend == NULL || backend->runs->len == 0) {
        return 0;
    }
    const struct pool_load *load = sched_pool_load(sched, host->pool);
    int64_t capacity_milli = load->hosts * load->largest_host.cpu_milli;
    double utilisation = capacity_milli == 0 ? 1
                                             : (double)load->used_milli /
                                                   (double)capacity_milli;
    return utilisation +
           (double)backend->used.cpu_milli /
               (double)MAX(backend->entry.capacity.cpu_milli, 1) / 2;
}

/* Host to reboot next. Those that may be rebooted anyway come first: a second
 * reboot for the same wave changes nothing. @counted: only those. */
static struct host *
next_host(struct scheduler *sched, const struct wave *wave, bool urgent,
          bool counted)
{
    struct host *best = NULL;
    double best_cost = 0;
    for (guint i = 0; i < wave->hosts->len; i++) {
        const char *name = g_ptr_array_index(wave->hosts, i);
        struct host *host = g_hash_table_lookup(sched->hosts, name);
        if (!host->present || !host->up || host->intent != HOST_STAYS ||
            host->command_accepted ||
            g_hash_table_contains(wave->started, name)) {
            continue;
        }
        const struct backend *backend = sched_host_backend(sched, host);
        if (backend != NULL && backend->entry.draining) {
            continue;
        }
        bool open = may_be_rebooted(sched, wave, host);
        double cost = open ? -1 : reboot_cost(sched, host);
        if (counted && !open) {
            continue;
        }
        if (cost > BUSY_POOL_FRACTION && !urgent) {
            continue;
        }
        if (best == NULL || cost < best_cost) {
            best = host;
            best_cost = cost;
        }
    }
    return best;
}

static void
plan_wave(struct scheduler *sched, struct wave *wave)
{
    int64_t now_ms = sched_now(sched);
    uint32_t left = hosts_left(sched, wave);
    int64_t rounds =
        (left + wave->max_unavailable - 1) / wave->max_unavailable;
    int64_t needed_ms = rounds * (sched->timings.reboot_ms + EMPTY_HOST_MS);
    bool urgent = now_ms + needed_ms + WAVE_SLACK_MS > wave->complete_by_ms;
    uint32_t unavailable;
    while ((unavailable = hosts_unavailable(sched, wave)) <=
           wave->max_unavailable) {
        struct host *host = next_host(sched, wave, urgent,
                                      unavailable == wave->max_unavailable);
        if (host == NULL) {
            return;
        }
        host->wave = wave->number;
        sched_host_set_intent(sched, host, HOST_REBOOTS, NULL);
        sched_log_event(sched, "host_reboot_planned",
                        "\"host\":%s,\"wave\":%" G_GINT64_FORMAT
                        ",\"left\":%u,\"hurry\":%s",
                        text_quote(host->name), wave->number, left,
                        urgent ? "true" : "false");
    }
}

void
sched_plan_waves(struct scheduler *sched)
{
    for (guint i = 0; i < sched->waves->len; i++) {
        struct wave *wave = g_ptr_array_index(sched->waves, i);
        if (wave->hosts->len > 0) {
            plan_wave(sched, wave);
        }
    }
}
