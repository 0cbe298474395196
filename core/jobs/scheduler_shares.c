/*
 * Shares of client accounts in a pool that is short of capacity: which of the
 * waiting jobs are tried first.
 *
 * Load pattern: accounts with weights 30 and 10 each send more than their pool
 * can do. Its jobs are tried in an order that gives each account the capacity
 * that its weight entitles it to. Service tasks hold what they have until they
 * are cancelled, so they don't count; accounts share what these leave.
 */
#include "core/jobs/scheduler.h"

#include "common/text.h"
#include "scheduler_state.h"

enum {
    /* Time between two orders of the same jobs. The order stays valid
     * meanwhile, since it counts what its jobs will use; only new jobs are
     * missing from it. */
    ORDER_PERIOD_MS = 20,
    /* Least number of jobs that are ordered, of one account and of all: in a
     * small pool few jobs take a large fraction. */
    ORDERED_OF_ACCOUNT_MIN = 16,
    ORDERED_MIN = 32,
    /* Keeps a line of the log below its limit of 4,096 bytes. */
    LOGGED_ACCOUNTS_MAX = 8,
};

/* Jobs of a pool are ordered until they take this multiple of what is free,
 * those of one account until they take half of it. More than once, as not
 * every job fits that is tried; the rest can only wait. */
static const double ORDERED_FREE_RATIO = 2;
/* In addition, what becomes free until the order is made again: tasks of 1 s
 * in a full pool free this fraction of it in ORDER_PERIOD_MS. */
static const double ORDERED_AHEAD_FRACTION = 0.02;
/* A job that has begun to start stays first until all its tasks have started,
 * if they take no more than this fraction of the pool: otherwise many jobs run
 * with some of their tasks, which takes longer for all and makes passes
 * dearer. Larger jobs would hold up the shares for too long. */
static const double STARTING_FRACTION_MAX = 0.01;

static struct pool_account *
pool_account(struct pool_load *pool, struct team_usage *team)
{
    if (pool->shares.accounts == NULL) {
        pool->shares.accounts =
            g_hash_table_new_full(NULL, NULL, NULL, g_free);
    }
    struct pool_account *account =
        g_hash_table_lookup(pool->shares.accounts, team);
    if (account == NULL) {
        account = g_new0(struct pool_account, 1);
        account->team = team;
        g_hash_table_insert(pool->shares.accounts, team, account);
    }
    return account;
}

static struct pool_account *
job_account(struct job *job)
{
    struct job_refs *refs = &job->refs;
    if (refs->account == NULL) {
        refs->account = pool_account(refs->pool, refs->team);
    }
    return refs->account;
}

void
sched_share_count_run(struct scheduler *sched, struct run *run, int64_t factor)
{
    const struct job_step *step = run_step(run);
    if (factor > 0 && sched->policy.account_shares && !step->long_running) {
        run->account =
            run->backend->pool == run->job->refs.pool
                ? job_account(run->job)
                : pool_account(run->backend->pool, run->job->refs.team);
    }
    if (run->account != NULL) {
        struct resources need = job_step_backend_need(step);
        share_use_add(&run->account->use, &need, factor, sched_now(sched),
                      sched->policy.share_window_ms);
    }
}

/**
 * struct waiting_need - what a job waits for
 * @need: resources of its tasks that may run now and do not
 * @constrained: they may find no place although there is capacity
 */
struct waiting_need {
    struct resources need;
    bool constrained;
};

static int64_t
waiting_tasks(const struct job_step *step,
              const struct step_progress *progress)
{
    int64_t count = 0;
    for (uint32_t t = 0;
         progress->done < step->task_count && t < step->task_count; t++) {
        const struct job_task *task = &progress->tasks[t];
        count += task->run == NULL && !task->done;
    }
    return count;
}

static struct waiting_need
measure_waiting(const struct job *job)
{
    const struct queue_config *queue = job->refs.queue;
    struct waiting_need waiting = {
        .constrained = queue != NULL && queue->needs_advice,
    };
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            const struct job_step *step = &job->steps[s];
            if (!job_step_ready(job, occurrence->number, s)) {
                continue;
            }
            struct resources need = job_step_backend_need(step);
            resources_add(&waiting.need, &need,
                          waiting_tasks(step, &occurrence->steps[s]));
            waiting.constrained = waiting.constrained || step->gang ||
                                  step->required_label != NULL ||
                                  step->max_per_backend > 0;
        }
    }
    return waiting;
}

static bool
has_begun(const struct job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        if (occurrence->started) {
            return true;
        }
    }
    return false;
}

/* Priority of the first job that is no service, the highest; 0: none waits. */
static int64_t
highest_priority(const struct scheduler *sched, const struct pool_load *pool)
{
    for (guint i = 0; i < pool->unplaced->len; i++) {
        const struct job *job = g_ptr_array_index(pool->unplaced, i);
        if (job->rank.urgency != URGENCY_SERVICE) {
            return sched_share_priority(sched, job->refs.queue);
        }
    }
    return 0;
}

/* Whether @job, which was tried first, stays first in the next order. */
static bool
stays_first(const struct scheduler *sched, const struct pool_load *pool,
            const struct job *job)
{
    if (!job->unplaced || job->state != JOB_ACTIVE || job->refs.pool != pool ||
        !has_begun(job) ||
        sched_share_priority(sched, job->refs.queue) >
            highest_priority(sched, pool)) {
        return false;
    }
    struct waiting_need need = measure_waiting(job);
    return !need.constrained &&
           share_fraction(&need.need, &pool->shares.capacity) <=
               STARTING_FRACTION_MAX;
}

static void
clear_first(struct pool_shares *shares)
{
    for (guint i = 0; i < shares->first->len; i++) {
        job_unref(g_ptr_array_index(shares->first, i));
    }
    g_ptr_array_set_size(shares->first, 0);
}

/* Removes all but the jobs that stay first. */
static void
begin_first(const struct scheduler *sched, struct pool_load *pool)
{
    GPtrArray *first = pool->shares.first;
    guint kept = 0;
    for (guint i = 0; i < first->len; i++) {
        struct job *job = g_ptr_array_index(first, i);
        if (stays_first(sched, pool, job)) {
            job->share_listed = sched->share_orders;
            g_ptr_array_index(first, kept++) = job;
        }
        else {
            job_unref(job);
        }
    }
    g_ptr_array_set_size(first, (int)kept);
}

/* Thousandths of a core that are free on backend servers on which a task that
 * takes @least_milli may fit. */
static int64_t
measure_free_milli(const struct pool_index *index, int64_t least_milli)
{
    int64_t free_milli = 0;
    for (uint32_t slot = pool_index_slot(index, least_milli);
         slot < POOL_SLOT_COUNT; slot++) {
        int64_t upper_milli = index->largest_milli *
                              MIN(slot + 1, POOL_FREE_SLOT_COUNT) /
                              POOL_FREE_SLOT_COUNT;
        free_milli += index->slots[slot]->len * upper_milli;
    }
    return free_milli;
}

/**
 * struct waiting_jobs - the waiting jobs of a pool, services left out
 * @first: position of the first one among the unplaced jobs
 * @n_accounts: accounts that they belong to
 * @weighted: some of these has a weight
 * @least_milli: no waiting task takes less of a processor
 */
struct waiting_jobs {
    guint first;
    uint32_t n_accounts;
    bool weighted;
    int64_t least_milli;
};

static void
add_account(struct scheduler *sched, const struct pool_load *pool,
            struct pool_account *account, struct waiting_jobs *waiting)
{
    int64_t weight = sched_team_weight(sched, account->team);
    double use =
        share_use_fraction(&account->use, &pool->shares.capacity,
                           sched_now(sched), sched->policy.share_window_ms);
    account->order = sched->share_orders;
    account->ordered = 0;
    account->n_ordered = 0;
    account->index =
        share_order_add_account(&sched->share_order, (double)weight, use);
    waiting->n_accounts++;
    waiting->weighted = waiting->weighted || weight > 0;
}

/* Service tasks come first among the unplaced jobs. */
static struct waiting_jobs
collect_jobs(struct scheduler *sched, const struct pool_load *pool)
{
    struct waiting_jobs waiting = {
        .least_milli = pool->index.largest_milli,
    };
    const GPtrArray *unplaced = pool->unplaced;
    share_order_reset(&sched->share_order, unplaced->len);
    for (guint i = 0; i < unplaced->len; i++) {
        struct job *job = g_ptr_array_index(unplaced, i);
        if (job->rank.urgency == URGENCY_SERVICE) {
            waiting.first = i + 1;
            continue;
        }
        struct pool_account *account = job_account(job);
        if (account->order != sched->share_orders) {
            add_account(sched, pool, account, &waiting);
        }
        share_order_add_job(&sched->share_order, account->index,
                            sched_share_priority(sched, job->refs.queue),
                            job->started);
        waiting.least_milli =
            MIN(waiting.least_milli, job->remaining.least_need.cpu_milli);
    }
    return waiting;
}

/* Whether the waiting tasks may not all fit. Half of what is free counts, as
 * tasks leave gaps on each backend server. */
static bool
pool_is_short(const struct pool_load *pool, const struct waiting_jobs *waiting,
              int64_t free_milli)
{
    const struct resources *available = &pool->shares.free;
    struct resources sum = {0};
    for (guint i = waiting->first; i < pool->unplaced->len; i++) {
        struct waiting_need need =
            measure_waiting(g_ptr_array_index(pool->unplaced, i));
        resources_add(&sum, &need.need, 1);
        if (sum.cpu_milli > free_milli / 2 ||
            sum.mem_mb > available->mem_mb / 2 || sum.gpus > available->gpus) {
            return true;
        }
    }
    return false;
}

/* Fills the list of jobs that are tried first. Jobs that the maximum of their
 * account keeps waiting, or that need more than any backend server has left,
 * aren't charged to its share. */
static void
order_jobs(struct scheduler *sched, struct pool_load *pool,
           const struct waiting_jobs *waiting, int64_t free_milli)
{
    const struct resources *capacity = &pool->shares.capacity;
    double fraction_max =
        ORDERED_AHEAD_FRACTION + ORDERED_FREE_RATIO * (double)free_milli /
                                     (double)MAX(capacity->cpu_milli, 1);
    double ordered = 0;
    uint32_t number;
    guint n_ordered = 0;
    while ((ordered <= fraction_max || n_ordered < ORDERED_MIN) &&
           share_order_peek(&sched->share_order, &number)) {
        struct job *job =
            g_ptr_array_index(pool->unplaced, waiting->first + number);
        struct pool_account *account = job->refs.account;
        if (!sched_team_allows(sched, job, &job->remaining.least_need) ||
            !sched_job_is_unplaced(job)) {
            share_order_take(&sched->share_order, 0, false);
            continue;
        }
        struct waiting_need need = measure_waiting(job);
        double fraction = share_fraction(&need.need, capacity);
        account->ordered += fraction;
        account->n_ordered++;
        n_ordered++;
        ordered += need.constrained ? 0 : fraction;
        if (job->share_listed != sched->share_orders) {
            g_ptr_array_add(pool->shares.first, job_ref(job));
        }
        share_order_take(&sched->share_order, fraction,
                         account->ordered > fraction_max / 2 &&
                             account->n_ordered >= ORDERED_OF_ACCOUNT_MIN);
    }
}

/* Once in a window, which accounts share the pool. */
static void
log_shares(struct scheduler *sched, struct pool_load *pool,
           const struct waiting_jobs *waiting)
{
    int64_t now_ms = sched_now(sched);
    struct pool_shares *shares = &pool->shares;
    if (shares->logged_ms != 0 &&
        now_ms - shares->logged_ms < sched->policy.share_window_ms) {
        return;
    }
    shares->logged_ms = now_ms;
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    void *value;
    int logged = 0;
    g_hash_table_iter_init(&iter, shares->accounts);
    while (logged < LOGGED_ACCOUNTS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pool_account *account = value;
        if (account->order == sched->share_orders) {
            g_string_append_printf(
                text,
                "%s{\"account\":%s,\"weight\":%" G_GINT64_FORMAT
                ",\"cpu\":%" G_GINT64_FORMAT "}",
                logged++ > 0 ? "," : "", text_quote(account->team->team),
                sched_team_weight(sched, account->team),
                account->use.now.cpu_milli);
        }
    }
    sched_log_event(sched, "shares_applied",
                    "\"pool\":%s,\"waiting\":%u,\"n_accounts\":%u,"
                    "\"accounts\":[%s]",
                    text_quote(pool->pool),
                    pool->unplaced->len - waiting->first, waiting->n_accounts,
                    text->str);
    g_string_free(text, TRUE);
}

/* Whether the order is outdated: its jobs have started, or many have arrived
 * since. */
static bool
order_due(const struct scheduler *sched, const struct pool_load *pool)
{
    const struct pool_shares *shares = &pool->shares;
    return sched_now(sched) >= shares->due_ms ||
           (shares->applied &&
            (shares->first->len == 0 ||
             sched_share_priority(
                 sched,
                 ((const struct job *)g_ptr_array_index(shares->first, 0))
                     ->refs.queue) > highest_priority(sched, pool))) ||
           pool->unplaced->len > 2 * shares->n_unplaced;
}

void
sched_share_order(struct scheduler *sched, struct pool_load *pool)
{
    struct pool_shares *shares = &pool->shares;
    if (!sched->policy.account_shares) {
        return;
    }
    if (shares->first == NULL) {
        shares->first = g_ptr_array_new();
    }
    if (!order_due(sched, pool)) {
        sched->stats.share_passes += shares->applied;
        return;
    }
    sched->share_orders++;
    shares->applied = false;
    shares->due_ms = sched_now(sched) + ORDER_PERIOD_MS;
    shares->n_unplaced = pool->unplaced->len;
    struct waiting_jobs waiting = collect_jobs(sched, pool);
    if (!waiting.weighted || waiting.n_accounts < 2 ||
        shares->capacity.cpu_milli == 0) {
        clear_first(shares);
        return;
    }
    int64_t free_milli = measure_free_milli(&pool->index, waiting.least_milli);
    if (pool_is_short(pool, &waiting, free_milli)) {
        shares->applied = true;
        sched->stats.share_passes++;
        log_shares(sched, pool, &waiting);
        begin_first(sched, pool);
        order_jobs(sched, pool, &waiting, free_milli);
    }
    else {
        clear_first(shares);
    }
}

void
sched_share_clear(struct pool_load *pool)
{
    if (pool->shares.accounts != NULL) {
        g_hash_table_unref(pool->shares.accounts);
    }
    if (pool->shares.backlogs != NULL) {
        g_array_unref(pool->shares.backlogs);
    }
    if (pool->shares.first != NULL) {
        clear_first(&pool->shares);
        g_ptr_array_unref(pool->shares.first);
    }
}
