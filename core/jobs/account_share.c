/*
 * Load pattern: several client accounts have more work waiting in a pool than
 * it has capacity for, and one of them may send far more than the others. Each
 * gets capacity by its weight, measured by its dominant resource; what one
 * does not use goes to the others.
 */
#include "core/jobs/account_share.h"

#include <math.h>

static void
update_average(struct share_use *use, int64_t now_ms, int64_t window_ms)
{
    if (now_ms <= use->at_ms) {
        return;
    }
    double kept =
        use->at_ms == 0
            ? 0
            : exp(-(double)(now_ms - use->at_ms) / (double)window_ms);
    const int64_t now[SHARE_RESOURCE_COUNT] = {use->now.cpu_milli,
                                               use->now.mem_mb, use->now.gpus};
    for (int i = 0; i < SHARE_RESOURCE_COUNT; i++) {
        use->average[i] = use->average[i] * kept + (double)now[i] * (1 - kept);
    }
    use->at_ms = now_ms;
}

void
share_use_add(struct share_use *use, const struct resources *need,
              int64_t factor, int64_t now_ms, int64_t window_ms)
{
    update_average(use, now_ms, window_ms);
    resources_add(&use->now, need, factor);
}

static double
fraction_of(double amount, int64_t capacity)
{
    return capacity <= 0 ? 0 : amount / (double)capacity;
}

double
share_use_fraction(const struct share_use *use,
                   const struct resources *capacity, int64_t now_ms,
                   int64_t window_ms)
{
    struct share_use updated = *use;
    update_average(&updated, now_ms, window_ms);
    double cpu = fraction_of(updated.average[0] + (double)use->now.cpu_milli,
                             capacity->cpu_milli);
    double memory = fraction_of(updated.average[1] + (double)use->now.mem_mb,
                                capacity->mem_mb);
    double gpus = fraction_of(updated.average[2] + (double)use->now.gpus,
                              capacity->gpus);
    return MAX(MAX(cpu, memory), gpus);
}

double
share_fraction(const struct resources *need, const struct resources *capacity)
{
    double cpu = fraction_of((double)need->cpu_milli, capacity->cpu_milli);
    double memory = fraction_of((double)need->mem_mb, capacity->mem_mb);
    double gpus = fraction_of((double)need->gpus, capacity->gpus);
    return MAX(MAX(cpu, memory), gpus);
}

static double
weight_of(double weight)
{
    return weight > 0 ? weight : 1;
}

/* Part of the use of an account that counts for a job which has started. */
static const double STARTED_RATIO = 0.5;

enum {
    NO_JOB = UINT32_MAX,
};

/**
 * struct share_account - an account with waiting jobs
 * @first: its next job of the priority that is being ordered, NO_JOB: none
 * @last: its last one
 * @by_weight: its use by its weight
 * @key: the part of it that counts for its next job
 */
struct share_account {
    double weight;
    double by_weight;
    double key;
    uint32_t first;
    uint32_t last;
};

void
share_order_clear(struct share_order *order)
{
    g_free(order->accounts);
    g_free(order->jobs);
    g_free(order->heap);
    *order = (struct share_order){0};
}

void
share_order_reset(struct share_order *order, uint32_t n_jobs)
{
    if (n_jobs > order->jobs_room) {
        order->jobs_room = n_jobs + n_jobs / 2;
        order->jobs = g_renew(struct share_job, order->jobs, order->jobs_room);
    }
    order->n_jobs = 0;
    order->n_accounts = 0;
    order->n_heap = 0;
    order->begun = false;
}

uint32_t
share_order_add_account(struct share_order *order, double weight, double use)
{
    if (order->n_accounts == order->accounts_room) {
        order->accounts_room = order->accounts_room * 2 + 8;
        order->accounts = g_renew(struct share_account, order->accounts,
                                  order->accounts_room);
        order->heap = g_renew(uint32_t, order->heap, order->accounts_room);
    }
    order->accounts[order->n_accounts] = (struct share_account){
        .weight = weight_of(weight),
        .by_weight = use / weight_of(weight),
        .first = NO_JOB,
    };
    return order->n_accounts++;
}

void
share_order_add_job(struct share_order *order, uint32_t account,
                    int64_t priority, bool started)
{
    order->jobs[order->n_jobs++] = (struct share_job){.account = account,
                                                      .next = NO_JOB,
                                                      .priority = priority,
                                                      .started = started};
}

static void
set_first(const struct share_order *order, struct share_account *account,
          uint32_t first)
{
    account->first = first;
    account->key = account->by_weight;
    if (first != NO_JOB && order->jobs[first].started) {
        account->key *= STARTED_RATIO;
    }
}

static bool
comes_before(const struct share_account *a, const struct share_account *b)
{
    return a->key != b->key ? a->key < b->key : a->first < b->first;
}

static void
sift_down(struct share_order *order, uint32_t i)
{
    const struct share_account *accounts = order->accounts;
    uint32_t *heap = order->heap;
    uint32_t entry = heap[i];
    for (;;) {
        uint32_t child = 2 * i + 1;
        if (child >= order->n_heap) {
            break;
        }
        if (child + 1 < order->n_heap &&
            comes_before(&accounts[heap[child + 1]], &accounts[heap[child]])) {
            child++;
        }
        if (!comes_before(&accounts[heap[child]], &accounts[entry])) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    heap[i] = entry;
}

/* Goes on to the highest priority below the current one; false: none. */
static bool
next_priority(struct share_order *order)
{
    int64_t above = order->priority;
    bool found = false;
    for (uint32_t i = 0; i < order->n_jobs; i++) {
        int64_t priority = order->jobs[i].priority;
        if ((!order->begun || priority > above) &&
            (!found || priority < order->priority)) {
            order->priority = priority;
            found = true;
        }
    }
    order->begun = true;
    return found;
}

static void
fill_heap(struct share_order *order)
{
    for (uint32_t a = 0; a < order->n_accounts; a++) {
        order->accounts[a].first = NO_JOB;
    }
    for (uint32_t i = 0; i < order->n_jobs; i++) {
        const struct share_job *job = &order->jobs[i];
        if (job->priority != order->priority) {
            continue;
        }
        struct share_account *account = &order->accounts[job->account];
        if (account->first == NO_JOB) {
            set_first(order, account, i);
            order->heap[order->n_heap++] = job->account;
        }
        else {
            order->jobs[account->last].next = i;
        }
        account->last = i;
    }
    for (uint32_t i = order->n_heap / 2; i > 0; i--) {
        sift_down(order, i - 1);
    }
}

bool
share_order_peek(struct share_order *order, uint32_t *job)
{
    if (order->n_heap == 0) {
        if (!next_priority(order)) {
            return false;
        }
        fill_heap(order);
    }
    *job = order->accounts[order->heap[0]].first;
    return true;
}

void
share_order_take(struct share_order *order, double fraction, bool last)
{
    struct share_account *account = &order->accounts[order->heap[0]];
    account->by_weight += fraction / account->weight;
    set_first(order, account, order->jobs[account->first].next);
    if (last || account->first == NO_JOB) {
        order->heap[0] = order->heap[--order->n_heap];
    }
    if (order->n_heap > 0) {
        sift_down(order, 0);
    }
}

double
share_delay_millicore_ms(const struct share_backlog *backlogs,
                         size_t n_backlogs, const struct share_backlog *job,
                         double job_millicore_ms)
{
    double own = 0;
    double higher = 0;
    for (size_t i = 0; i < n_backlogs; i++) {
        const struct share_backlog *backlog = &backlogs[i];
        if (backlog->priority < job->priority) {
            higher +=
                backlog->attainable_millicore_ms + backlog->late_millicore_ms;
        }
        else if (backlog->priority == job->priority &&
                 backlog->account == job->account) {
            own += backlog->attainable_millicore_ms;
        }
    }
    if (own <= 0) {
        return higher;
    }
    double per_weight = (own + job_millicore_ms) / weight_of(job->weight);
    double others = 0;
    for (size_t i = 0; i < n_backlogs; i++) {
        const struct share_backlog *backlog = &backlogs[i];
        if (backlog->priority == job->priority &&
            backlog->account != job->account) {
            others += MIN(backlog->attainable_millicore_ms +
                              backlog->late_millicore_ms,
                          weight_of(backlog->weight) * per_weight);
        }
    }
    return higher + own + others;
}
