/*
 * Shares of client accounts in a pool that is short of capacity: weighted
 * dominant resource fairness. Pure functions over plain arrays.
 */
#ifndef CORE_JOBS_ACCOUNT_SHARE_H
#define CORE_JOBS_ACCOUNT_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/jobs/job.h"

enum {
    SHARE_RESOURCE_COUNT = 3,
};

/**
 * struct share_use - what an account uses of a pool
 * @now: what its runs take
 * @average: decaying average of each resource up to @at_ms
 * @at_ms: when @average was last updated
 */
struct share_use {
    struct resources now;
    double average[SHARE_RESOURCE_COUNT];
    int64_t at_ms;
};

/** share_use_add() - a run starts (@factor 1) or ends (-1). */
void
share_use_add(struct share_use *use, const struct resources *need,
              int64_t factor, int64_t now_ms, int64_t window_ms);

/**
 * share_use_fraction() - what @use counts for, as a fraction of @capacity
 *
 * The sum of what runs now and of the average over the last @window_ms, by the
 * dominant resource. With the average alone, an account that was idle for a
 * window would get everything that becomes free until the average had caught
 * up; with the sum it gets at most twice its share.
 */
double
share_use_fraction(const struct share_use *use,
                   const struct resources *capacity, int64_t now_ms,
                   int64_t window_ms);

/** share_fraction() - @need as a fraction of @capacity, by the dominant
 * resource. */
double
share_fraction(const struct resources *need, const struct resources *capacity);

struct share_account;

/**
 * struct share_job - a waiting job
 * @account: index of its account
 * @next: the next one of its account and priority
 * @priority: 0 is the highest
 * @started: tasks of it have started
 */
struct share_job {
    uint32_t account;
    uint32_t next;
    int64_t priority;
    bool started;
};

/**
 * struct share_order - order of waiting jobs between accounts
 *
 * All jobs of a priority come before those of a lower one. Among them, the
 * next job is always one of the account with the least use by its weight; of
 * two accounts with the same, the one whose job was added first. For a job
 * that has started only half of the use counts: otherwise the second step of
 * each job would wait until all other accounts have had their turn, and the
 * pool would be full of half-done jobs.
 *
 * @accounts: accounts with waiting jobs
 * @jobs: in the order that holds within each account
 * @heap: accounts with jobs of @priority, least use first
 * @priority: that of the jobs which are being ordered
 * @begun: @priority is valid
 */
struct share_order {
    struct share_account *accounts;
    uint32_t n_accounts;
    uint32_t accounts_room;
    struct share_job *jobs;
    uint32_t n_jobs;
    uint32_t jobs_room;
    uint32_t *heap;
    uint32_t n_heap;
    int64_t priority;
    bool begun;
};

/** share_order_clear() - free what a share_order holds, which is zeroed at
 * first. */
void
share_order_clear(struct share_order *order);

/** share_order_reset() - make room for this many jobs and their accounts, and
 * forget all others. */
void
share_order_reset(struct share_order *order, uint32_t n_jobs);

/**
 * share_order_add_account() - add an account with waiting jobs
 * @weight: its weight; 0: none, counts as 1
 * @use: what it uses, see share_use_fraction()
 *
 * Return: its index.
 */
uint32_t
share_order_add_account(struct share_order *order, double weight, double use);

/** share_order_add_job() - add a job, behind the others of its account; jobs
 * are numbered from 0, no more than share_order_reset() made room for. */
void
share_order_add_job(struct share_order *order, uint32_t account,
                    int64_t priority, bool started);

/**
 * share_order_peek() - number of the job that comes next
 *
 * Return: false if there is none. share_order_take() is to be called before
 * the next call.
 */
bool
share_order_peek(struct share_order *order, uint32_t *job);

/**
 * share_order_take() - take the job that share_order_peek() has named
 * @fraction: fraction of the pool that it takes, added to the use of its
 *            account
 * @last: leave out what its account has besides at this priority
 */
void
share_order_take(struct share_order *order, double fraction, bool last);

/**
 * struct share_backlog - work of one account and priority that is not done
 * @account: its account
 * @priority: 0 is the highest
 * @weight: weight of the account; 0: none, counts as 1
 * @attainable_millicore_ms: of jobs that can still meet their objective
 * @late_millicore_ms: of the others, which come last within the account
 */
struct share_backlog {
    const void *account;
    int64_t priority;
    double weight;
    double attainable_millicore_ms;
    double late_millicore_ms;
};

/**
 * share_delay_millicore_ms() - work that is done before a new job is, besides
 * its own
 * @job: account, priority and weight of the new job
 * @job_millicore_ms: its work
 *
 * Fluid model: work of higher priorities is done first, then the accounts
 * share the pool by their weights, and what one does not use goes to the
 * others. By the time that the account of the job has finished the job, each
 * other one has got the work that its weight entitles it to, or all of its
 * own.
 *
 * An account without work that could come before the job has its share free:
 * the job starts at once as far as its share is concerned, and only higher
 * priorities count.
 *
 * Return: that work; divided by the rate of the pool it is the time by which
 * the job ends later than in an empty pool.
 */
double
share_delay_millicore_ms(const struct share_backlog *backlogs,
                         size_t n_backlogs, const struct share_backlog *job,
                         double job_millicore_ms);

#endif
