/* Slow hosts, freezes and loads that are too much for any host, replayed
 * against the decision whether a leader hands over, and who claims next. */
#include <stdio.h>

#include <glib.h>

#include "../suite.h"
#include "common/random.h"
#include "core/jobs/election_backoff.h"
#include "core/jobs/leader_fitness.h"
#include "core/jobs/overload.h"

enum {
    SAMPLE_MS = 100,
    /* A leader takes a sample with each renewal. */
    RENEWAL_MS = 700,
    /* A takeover costs callers about a second, so a handover comes within a
     * few seconds of a host's getting slow or not at all. */
    HANDOVER_BY_MS = 4000,
    /* Shorter lateness costs less than a takeover. */
    HANDOVER_NOT_BEFORE_MS = 2000,
    HOSTS = 12,
    SEEDS = 200,
    REPLAY_MS = 120000,
    REPLAY_STEP_MS = 50,
    /* What a store lease that wasn't ended takes to run out. */
    LEASE_MS = 3000,
};

/* Samples of a loop that is @lag_ms late each time; returns when leadership is
 * handed over, or -1. */
static int64_t
run_late(struct leader_fitness *fitness, int64_t *now_ms, int64_t lag_ms,
         int64_t duration_ms)
{
    int64_t end_ms = *now_ms + duration_ms;
    while (*now_ms < end_ms) {
        *now_ms += SAMPLE_MS + lag_ms;
        leader_fitness_sample(fitness, *now_ms, lag_ms);
        if (leader_fitness_hand_over(fitness, *now_ms)) {
            return *now_ms;
        }
    }
    return -1;
}

static void
test_sustained_lag(void)
{
    static const int64_t lags_ms[] = {500, 700, 1000, 1200};
    for (size_t i = 0; i < G_N_ELEMENTS(lags_ms); i++) {
        struct leader_fitness fitness = {0};
        int64_t now_ms = 1000;
        int64_t handed_ms = run_late(&fitness, &now_ms, lags_ms[i], 10000);
        CU_ASSERT(handed_ms >= 1000 + HANDOVER_NOT_BEFORE_MS);
        CU_ASSERT(handed_ms <= 1000 + HANDOVER_BY_MS);
    }
}

/* A process that was frozen, or that loaded records, is late once; what has
 * piled up makes it late a second time. */
static void
test_freeze(void)
{
    static const int64_t freezes_ms[] = {600, 2900, 10000, 600000};
    for (size_t i = 0; i < G_N_ELEMENTS(freezes_ms); i++) {
        struct leader_fitness fitness = {0};
        int64_t now_ms = 1000;
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 0, 1000), -1);
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, freezes_ms[i], 1), -1);
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 900, 1), -1);
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 0, 5000), -1);
    }
}

/* A host that is merely busy is late for a while, or a little all the time. */
static void
test_busy(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    for (int spell = 0; spell < 50; spell++) {
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 600, 1500), -1);
        CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 50, 100), -1);
    }
    CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 450, 60000), -1);
}

/* One calm sample begins the count anew. */
static void
test_calm_resets(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 700, 1900), -1);
    CU_ASSERT(leader_fitness_slow(&fitness));
    CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 499, 1), -1);
    CU_ASSERT_FALSE(leader_fitness_slow(&fitness));
    int64_t begin_ms = now_ms;
    int64_t handed_ms = run_late(&fitness, &now_ms, 700, 10000);
    CU_ASSERT(handed_ms >= begin_ms + HANDOVER_NOT_BEFORE_MS);
}

/* A process that runs for 60 ms in each second reads the answer to the renewal
 * of the slice before, and then sends one that is answered at once. */
static void
test_slices(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    bool handed_over = false;
    while (now_ms < 1000 + HANDOVER_BY_MS && !handed_over) {
        now_ms += 960;
        leader_fitness_lag(&fitness, now_ms, 960);
        leader_fitness_lag(&fitness, now_ms + 5, 5);
        handed_over = leader_fitness_hand_over(&fitness, now_ms + 5);
    }
    CU_ASSERT(handed_over);
    CU_ASSERT(now_ms >= 1000 + HANDOVER_NOT_BEFORE_MS);
}

/* Renewals of a process that was stopped once are answered late, then in
 * time. */
static void
test_one_slice(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    leader_fitness_lag(&fitness, now_ms, 2900);
    for (int i = 0; i < 20; i++) {
        leader_fitness_lag(&fitness, now_ms, 5);
        CU_ASSERT_FALSE(leader_fitness_hand_over(&fitness, now_ms));
        now_ms += RENEWAL_MS;
    }
    CU_ASSERT_FALSE(leader_fitness_slow(&fitness));
}

/* The loop and the renewals of a slow leader are on time, but nothing is left
 * to shed. */
static void
test_exhausted(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    bool handed_over = false;
    while (now_ms < 1000 + HANDOVER_BY_MS && !handed_over) {
        now_ms += RENEWAL_MS;
        leader_fitness_exhausted(&fitness, 300);
        leader_fitness_lag(&fitness, now_ms, 140);
        handed_over = leader_fitness_hand_over(&fitness, now_ms);
    }
    CU_ASSERT(handed_over);
    CU_ASSERT(now_ms >= 1000 + HANDOVER_NOT_BEFORE_MS);
}

/* For a second at a time nothing is left to shed. */
static void
test_exhausted_briefly(void)
{
    struct leader_fitness fitness = {0};
    int64_t now_ms = 1000;
    for (int i = 0; i < 100; i++) {
        now_ms += RENEWAL_MS;
        if (i % 3 != 0) {
            leader_fitness_exhausted(&fitness, 300);
        }
        leader_fitness_lag(&fitness, now_ms, 140);
        CU_ASSERT_FALSE(leader_fitness_hand_over(&fitness, now_ms));
    }
}

/* Each takeover of the last 30 s doubles the time, a single one doesn't; what
 * was there at the start is none. */
static void
test_doubling(void)
{
    struct leader_fitness fitness = {0};
    leader_fitness_term_seen(&fitness, 1000, 70);
    leader_fitness_term_seen(&fitness, 1500, 70);
    CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 2000), 2000);
    for (int64_t i = 1; i <= 4; i++) {
        leader_fitness_term_seen(&fitness, 2000 + i, 70 + i);
        leader_fitness_term_seen(&fitness, 2000 + i, 70 + i);
        CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 2100),
                        i == 1 ? 2000 : (int64_t)2000 << i);
    }
    leader_fitness_restart(&fitness);
    CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 32000), 32000);
    CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 32002), 8000);
    CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 32003), 2000);
    CU_ASSERT_EQUAL(leader_fitness_sustained_ms(&fitness, 32004), 2000);
    for (int64_t i = 0; i < 100; i++) {
        leader_fitness_term_seen(&fitness, 40000, 100 + i);
    }
    CU_ASSERT(leader_fitness_sustained_ms(&fitness, 40000) >= 256000);
    int64_t now_ms = 40000;
    CU_ASSERT_EQUAL(run_late(&fitness, &now_ms, 700, 15000), -1);
}

/* A slow host leaves vacant leadership to others for 3 s, in each vacancy, and
 * claims it if nobody else does. */
static void
test_slow_host_yields(void)
{
    struct election_backoff backoff = {0};
    CU_ASSERT_FALSE(election_backoff_yields(&backoff, true, 1000));
    election_backoff_slow(&backoff, 1000);
    CU_ASSERT(election_backoff_yields(&backoff, true, 1000));
    CU_ASSERT(election_backoff_yields(&backoff, true, 3999));
    CU_ASSERT_FALSE(election_backoff_yields(&backoff, true, 4000));
    CU_ASSERT_FALSE(election_backoff_yields(&backoff, true, 5000));
    CU_ASSERT_FALSE(election_backoff_yields(&backoff, false, 6000));
    CU_ASSERT(election_backoff_yields(&backoff, true, 7000));
    CU_ASSERT(election_backoff_is_slow(&backoff, 15999));
    CU_ASSERT_FALSE(election_backoff_is_slow(&backoff, 16000));
    CU_ASSERT_FALSE(election_backoff_yields(&backoff, true, 16000));
}

/**
 * struct host - a host of the replay
 * @slow_from_ms: when its processor gets slow
 * @slow_to_ms: when that is over
 * @sample_due_ms: when its timer is due
 * @claim_ms: when it reads the record next
 */
struct host {
    struct leader_fitness fitness;
    struct election_backoff backoff;
    int64_t slow_from_ms;
    int64_t slow_to_ms;
    int64_t sample_due_ms;
    int64_t sample_ms;
    int64_t claim_ms;
};

/**
 * struct fleet - hosts, and who leads
 * @leader: index of the leader; -1: none
 * @changes: how often leadership was handed over
 * @vacant_ms: time without a leader
 */
struct fleet {
    struct host hosts[HOSTS];
    int leader;
    int64_t term;
    uint32_t changes;
    int64_t vacant_ms;
    struct random random;
};

static bool
is_slow(const struct host *host, int64_t now_ms)
{
    return now_ms >= host->slow_from_ms && now_ms < host->slow_to_ms;
}

/* A slow leader's loop is 0.5 to 1.5 s late, that of a fast one up to 0.2 s; a
 * host that doesn't lead has little to do. */
static void
plan_sample(struct fleet *fleet, int i, int64_t now_ms)
{
    struct host *host = &fleet->hosts[i];
    bool late = fleet->leader == i && is_slow(host, now_ms);
    host->sample_due_ms = now_ms + SAMPLE_MS;
    host->sample_ms =
        host->sample_due_ms + (late ? 500 + random_below(&fleet->random, 1000)
                                    : random_below(&fleet->random, 200));
}

static void
step_leader(struct fleet *fleet, int i, int64_t now_ms)
{
    struct host *host = &fleet->hosts[i];
    if (now_ms < host->sample_ms) {
        return;
    }
    leader_fitness_sample(&host->fitness, now_ms,
                          now_ms - host->sample_due_ms);
    if (leader_fitness_hand_over(&host->fitness, now_ms)) {
        fleet->leader = -1;
        fleet->changes++;
        election_backoff_slow(&host->backoff, now_ms);
        leader_fitness_restart(&host->fitness);
        host->claim_ms = now_ms;
    }
    plan_sample(fleet, i, now_ms);
}

static void
step_claim(struct fleet *fleet, int i, int64_t now_ms)
{
    struct host *host = &fleet->hosts[i];
    bool vacant = fleet->leader < 0;
    if (election_backoff_yields(&host->backoff, vacant, now_ms) ||
        now_ms < host->claim_ms) {
        return;
    }
    int64_t delay_ms = 0;
    double fraction = random_below(&fleet->random, 1000) / 1000.0;
    switch (election_backoff_next(&host->backoff, vacant, 0.25, 0.25, fraction,
                                  &delay_ms)) {
    case ELECTION_NONE:
        break;
    case ELECTION_WAIT:
        host->claim_ms = now_ms + delay_ms;
        break;
    case ELECTION_CAMPAIGN:
        fleet->leader = i;
        fleet->term++;
        leader_fitness_restart(&host->fitness);
        plan_sample(fleet, i, now_ms);
        break;
    }
}

static void
replay(struct fleet *fleet, int64_t from_ms, int64_t to_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += REPLAY_STEP_MS) {
        for (int i = 0; i < HOSTS; i++) {
            leader_fitness_term_seen(&fleet->hosts[i].fitness, now_ms,
                                     fleet->term);
            if (fleet->leader == i) {
                step_leader(fleet, i, now_ms);
            }
            else {
                step_claim(fleet, i, now_ms);
            }
        }
        fleet->vacant_ms += fleet->leader < 0 ? REPLAY_STEP_MS : 0;
    }
}

static void
fleet_init(struct fleet *fleet, uint64_t seed)
{
    *fleet =
        (struct fleet){.leader = 0, .term = 10, .random = random_seeded(seed)};
    plan_sample(fleet, 0, 0);
}

/* The leader and up to half of the others get slow for 10 to 40 s. */
static void
test_some_hosts_slow(void)
{
    uint32_t most = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet fleet;
        fleet_init(&fleet, seed);
        for (int i = 0; i < HOSTS / 2; i++) {
            struct host *host = &fleet.hosts[i];
            host->slow_from_ms = 1000 + random_below(&fleet.random, 5000);
            host->slow_to_ms = host->slow_from_ms + 10000 +
                               random_below(&fleet.random, 30000);
        }
        replay(&fleet, 0, REPLAY_MS);
        most = MAX(most, fleet.changes);
        CU_ASSERT(fleet.changes >= 1);
        CU_ASSERT(fleet.changes <= 4);
        CU_ASSERT(fleet.leader >= 0);
        CU_ASSERT(fleet.vacant_ms <= 1000 * fleet.changes);
    }
    printf("at most %u changes ", most);
}

/* Half of the hosts stay slow for good: a fast one leads at the end. */
static void
test_fast_host_leads_at_the_end(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet fleet;
        fleet_init(&fleet, seed);
        for (int i = 0; i < HOSTS / 2; i++) {
            fleet.hosts[i].slow_from_ms = 1000;
            fleet.hosts[i].slow_to_ms = INT64_MAX;
        }
        replay(&fleet, 0, REPLAY_MS);
        CU_ASSERT(fleet.leader >= HOSTS / 2);
    }
}

/* All hosts are slow, or the load is too much for any: leadership changes once
 * in 10 s at most, and each change costs about a second. */
static void
test_all_hosts_slow(void)
{
    uint32_t most = 0;
    int64_t most_vacant_ms = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet fleet;
        fleet_init(&fleet, seed);
        for (int i = 0; i < HOSTS; i++) {
            fleet.hosts[i].slow_to_ms = INT64_MAX;
        }
        replay(&fleet, 0, REPLAY_MS);
        most = MAX(most, fleet.changes);
        most_vacant_ms = MAX(most_vacant_ms, fleet.vacant_ms);
        CU_ASSERT(fleet.changes >= 2);
        CU_ASSERT(fleet.changes <= REPLAY_MS / 10000);
        CU_ASSERT(fleet.vacant_ms <= 1500 * fleet.changes);
    }
    printf("at most %u changes, %ld ms vacant ", most, (long)most_vacant_ms);
}

/* Nobody is slow: nothing changes. */
static void
test_no_host_slow(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet fleet;
        fleet_init(&fleet, seed);
        replay(&fleet, 0, REPLAY_MS);
        CU_ASSERT_EQUAL(fleet.changes, 0);
        CU_ASSERT_EQUAL(fleet.leader, 0);
    }
}

/* A sole host that is slow leads again after it has yielded. */
static void
test_sole_host(void)
{
    struct fleet fleet;
    fleet_init(&fleet, 1);
    struct host *host = &fleet.hosts[0];
    host->slow_to_ms = INT64_MAX;
    int64_t now_ms = 0;
    while (now_ms < REPLAY_MS && fleet.leader == 0) {
        step_leader(&fleet, 0, now_ms);
        now_ms += REPLAY_STEP_MS;
    }
    CU_ASSERT_EQUAL(fleet.leader, -1);
    int64_t vacant_since_ms = now_ms;
    while (now_ms < REPLAY_MS && fleet.leader < 0) {
        step_claim(&fleet, 0, now_ms);
        now_ms += REPLAY_STEP_MS;
    }
    CU_ASSERT_EQUAL(fleet.leader, 0);
    CU_ASSERT(now_ms - vacant_since_ms >= LEASE_MS);
    CU_ASSERT(now_ms - vacant_since_ms <= LEASE_MS + 1000);
}

/* Backend servers, or the network to them, answer each start after 0.15 s.
 * The leader's loop and renewals are on time, and another leader would see the
 * same. */
static void
test_slow_backends(void)
{
    struct leader_fitness fitness = {0};
    struct overload overload;
    overload_init(&overload);
    bool handed_over = false;
    int64_t handed_ms = -1;
    for (int64_t now_ms = 1000; now_ms < 21000 && !handed_over;
         now_ms += 200) {
        for (int i = 0; i < 20; i++) {
            overload_sent(&overload);
            overload_answered(&overload, 150);
        }
        overload_loop_lag(&overload, 5);
        overload_update(&overload, now_ms);
        if ((now_ms - 1000) % 800 != 0) {
            continue;
        }
        overload_renewal_delay(&overload, 5);
        if (overload_exhausted(&overload)) {
            leader_fitness_exhausted(&fitness, 5);
        }
        leader_fitness_lag(&fitness, now_ms, 5);
        handed_over = leader_fitness_hand_over(&fitness, now_ms);
        handed_ms = handed_over ? now_ms - 1000 : -1;
    }
    printf("handed over after %ld ms ", (long)handed_ms);
    CU_ASSERT_FALSE(handed_over);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"sustained lag hands over", test_sustained_lag},
        {"a freeze does not", test_freeze},
        {"a busy host does not", test_busy},
        {"a calm sample resets", test_calm_resets},
        {"a process that runs in slices", test_slices},
        {"a process that was stopped once", test_one_slice},
        {"nothing left to shed hands over", test_exhausted},
        {"a second of it does not", test_exhausted_briefly},
        {"takeovers double the time", test_doubling},
        {"a slow host yields", test_slow_host_yields},
        {"some hosts are slow", test_some_hosts_slow},
        {"a fast host leads at the end", test_fast_host_leads_at_the_end},
        {"all hosts are slow", test_all_hosts_slow},
        {"no host is slow", test_no_host_slow},
        {"a sole host leads", test_sole_host},
        {"slow backend servers do not", test_slow_backends},
    };
    return suite_main("jobs leader fitness", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
