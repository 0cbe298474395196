/*
 * Whether this host is fast enough to lead, judged by how late the process's
 * own loop is, and by whether anything is left to shed while it has work all
 * the time. A slow store or slow backend servers are no reason: another leader
 * would be no better off. A
 * slow leader still renews its lease, which is its cheapest call, so nobody
 * else takes over from it.
 */
#ifndef CORE_JOBS_LEADER_FITNESS_H
#define CORE_JOBS_LEADER_FITNESS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Takeovers that are remembered; more would not be told apart. */
    LEADER_FITNESS_TAKEOVERS = 8,
};

/**
 * struct leader_fitness - late samples in a row, and recent takeovers
 * @late_samples: late samples since the last calm one
 * @late_since_ms: when the first of them was taken
 * @worst_lag_ms: longest lag of them
 * @takeovers_ms: when the last takeovers were seen, the oldest overwritten
 * @n_takeovers: takeovers seen in all
 * @period_lag_ms: longest lag noted in the current period
 * @period_begin_ms: when it began
 * @exhausted: nothing was left to shed in the current period
 * @term_revision: revision of the term that was seen last; 0: none yet
 */
struct leader_fitness {
    uint32_t late_samples;
    int64_t late_since_ms;
    int64_t worst_lag_ms;
    int64_t takeovers_ms[LEADER_FITNESS_TAKEOVERS];
    uint32_t n_takeovers;
    int64_t period_lag_ms;
    int64_t period_begin_ms;
    bool exhausted;
    int64_t term_revision;
};

/**
 * leader_fitness_exhausted() - the leader is late although it sheds all it can
 * @idle_lag_ms: how long its loop took on average in the period to have
 *               nothing left to do; a short time means that it waits for
 *               others
 */
void
leader_fitness_exhausted(struct leader_fitness *fitness, int64_t idle_lag_ms);

/** leader_fitness_lag() - the process was @lag_ms late; a sample is taken when
 * a period is over. */
void
leader_fitness_lag(struct leader_fitness *fitness, int64_t now_ms,
                   int64_t lag_ms);

/** leader_fitness_sample() - end a period in which the process was @lag_ms
 * late at most. */
void
leader_fitness_sample(struct leader_fitness *fitness, int64_t now_ms,
                      int64_t lag_ms);

/** leader_fitness_restart() - forget the samples: leadership was won or lost.
 * Takeovers are kept. */
void
leader_fitness_restart(struct leader_fitness *fitness);

/**
 * leader_fitness_term_seen() - the term's record was read or written
 * @revision: its revision; another one than before is a takeover
 */
void
leader_fitness_term_seen(struct leader_fitness *fitness, int64_t now_ms,
                         int64_t revision);

/** leader_fitness_sustained_ms() - how long the loop has to be late before
 * leadership is handed over; doubles with each recent takeover but a single
 * one. */
int64_t
leader_fitness_sustained_ms(const struct leader_fitness *fitness,
                            int64_t now_ms);

/** leader_fitness_hand_over() - whether a leader is too slow to go on. */
bool
leader_fitness_hand_over(const struct leader_fitness *fitness, int64_t now_ms);

/** leader_fitness_slow() - whether the last samples were late in a row. */
bool
leader_fitness_slow(const struct leader_fitness *fitness);

#endif
