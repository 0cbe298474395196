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

enum {
    NO_JOB = UINT32_MAX,
};

/**
 * struct share_account - an account with waiting jobs
 * @first: its next job of the priority that is being ordered, NO_JOB: none
 * @last: its last one
 * @key: its use by its weight
 */
struct share_account {
    double weight;
    double key;
    uint32_t first;
    uint32_t last;
};

void
share_order_init(struct share_order *order)
{
    *order = (struct share_order){
        .accounts = g_array_new(FALSE, FALSE, sizeof(struct share_account)),
        .jobs = g_array_new(FALSE, FALSE, sizeof(struct share_job)),
        .next = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .heap = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
    };
}

void
share_order_clear(struct share_order *order)
{
    g_array_unref(order->accounts);
    g_array_unref(order->jobs);
    g_array_unref(order->next);
    g_array_unref(order->heap);
}

void
share_order_reset(struct share_order *order)
{
    g_array_set_size(order->accounts, 0);
    g_array_set_size(order->jobs, 0);
    g_array_set_size(order->next, 0);
    g_array_set_size(order->heap, 0);
    order->begun = false;
}

uint32_t
share_order_add_account(struct share_order *order, double weight, double use)
{
    struct share_account account = {
        .weight = weight_of(weight),
        .key = use / weight_of(weight),
        .first = NO_JOB,
    };
    g_array_append_val(order->accounts, account);
    return order->accounts->len - 1;
}

void
share_order_add_job(struct share_order *order, uint32_t account,
                    int64_t priority)
{
    struct share_job job = {.account = account, .priority = priority};
    uint32_t next = NO_JOB;
    g_array_append_val(order->jobs, job);
    g_array_append_val(order->next, next);
}

static struct share_account *
heap_account(const struct share_order *order, guint i)
{
    return &g_array_index(order->accounts, struct share_account,
                          g_array_index(order->heap, uint32_t, i));
}

static bool
comes_before(const struct share_account *a, const struct share_account *b)
{
    return a->key != b->key ? a->key < b->key : a->first < b->first;
}

static void
sift_down(struct share_order *order, guint i)
{
    uint32_t *heap = (uint32_t *)(void *)order->heap->data;
    uint32_t entry = heap[i];
    const struct share_account *account = heap_account(order, i);
    for (;;) {
        guint child = 2 * i + 1;
        if (child >= order->heap->len) {
            break;
        }
        if (child + 1 < order->heap->len &&
            comes_before(heap_account(order, child + 1),
                         heap_account(order, child))) {
            child++;
        }
        if (!comes_before(heap_account(order, child), account)) {
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
    for (guint i = 0; i < order->jobs->len; i++) {
        int64_t priority =
            g_array_index(order->jobs, struct share_job, i).priority;
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
    uint32_t *next = (uint32_t *)(void *)order->next->data;
    for (guint a = 0; a < order->accounts->len; a++) {
        g_array_index(order->accounts, struct share_account, a).first = NO_JOB;
    }
    for (guint i = 0; i < order->jobs->len; i++) {
        const struct share_job *job =
            &g_array_index(order->jobs, struct share_job, i);
        if (job->priority != order->priority) {
            continue;
        }
        struct share_account *account = &g_array_index(
            order->accounts, struct share_account, job->account);
        if (account->first == NO_JOB) {
            account->first = i;
            g_array_append_val(order->heap, job->account);
        }
        else {
            next[account->last] = i;
        }
        account->last = i;
    }
    for (guint i = order->heap->len / 2; i > 0; i--) {
        sift_down(order, i - 1);
    }
}

bool
share_order_peek(struct share_order *order, uint32_t *job)
{
    if (order->heap->len == 0) {
        if (!next_priority(order)) {
            return false;
        }
        fill_heap(order);
    }
    *job = heap_account(order, 0)->first;
    return true;
}

void
share_order_take(struct share_order *order, double fraction, bool last)
{
    struct share_account *account = heap_account(order, 0);
    account->key += fraction / account->weight;
    account->first = g_array_index(order->next, uint32_t, account->first);
    if (last || account->first == NO_JOB) {
        g_array_remove_index_fast(order->heap, 0);
    }
    if (order->heap->len > 0) {
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
