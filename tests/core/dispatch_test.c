/* Single decisions of one dispatcher. */
#include "../suite.h"
#include "config_fixture.h"
#include "core/estimate.h"

enum {
    SLOTS = 2,
    DEADLINE_MS = 5000,
    LEASE_MS = 10000,
    LEASE_MARGIN_MAX_MS = 5000,
};

struct bed {
    struct fixture *fixture;
    struct dispatch *dispatch;
    uint64_t tasks;
};

static struct bed
bed_create(uint32_t hosts)
{
    struct bed bed = {
        .fixture = fixture_create(&(struct fixture_size){
            .dcs = 2,
            .pools = 1,
            .teams = 2,
            .hosts = hosts,
            .slots = SLOTS,
        }),
        .dispatch = dispatch_create(&(struct dispatch_options){
            .seed = 1,
            .dc = "dc-1",
        }),
    };
    dispatch_set_config(bed.dispatch, &bed.fixture->config);
    dispatch_set_hosts(bed.dispatch, bed.fixture->hosts, bed.fixture->n_hosts);
    dispatch_set_quorum_lease(bed.dispatch, INT64_MAX);
    dispatch_set_permits(bed.dispatch, "team-0", 100);
    dispatch_set_permits(bed.dispatch, "team-1", 100);
    return bed;
}

static void
bed_destroy(struct bed *bed)
{
    dispatch_destroy(bed->dispatch);
    fixture_destroy(bed->fixture);
}

static enum reason
submit_task(struct bed *bed, bool idempotent, bool forwarded, int64_t now_ms)
{
    struct dispatch_task task = fixture_task(bed->fixture, 0, 0, ++bed->tasks);
    task.idempotent = idempotent;
    task.forwarded = forwarded;
    int64_t retry_after_ms;
    return dispatch_submit(bed->dispatch, &task, now_ms, &retry_after_ms);
}

static enum reason
submit(struct bed *bed, int64_t now_ms)
{
    return submit_task(bed, false, false, now_ms);
}

static struct dispatch_action
next(struct bed *bed, int64_t now_ms)
{
    struct dispatch_action action = {.task = 0};
    dispatch_next(bed->dispatch, now_ms, &action);
    return action;
}

static uint32_t
count_starts(struct bed *bed, int64_t now_ms)
{
    uint32_t starts = 0;
    struct dispatch_action action;
    while (dispatch_next(bed->dispatch, now_ms, &action)) {
        starts += action.type == DISPATCH_START;
    }
    return starts;
}

static void
test_queue_bound(void)
{
    struct bed bed = bed_create(1);
    bed.fixture->config.queues[0].max_queued = 5;
    dispatch_set_config(bed.dispatch, &bed.fixture->config);
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_EQUAL(submit(&bed, 0), REASON_NONE);
    }
    CU_ASSERT_EQUAL(submit(&bed, 0), REASON_QUEUE_FULL);
    CU_ASSERT_EQUAL(dispatch_team_queued(bed.dispatch, "team-0"), 5);
    bed_destroy(&bed);
}

static void
test_cancellation_wave(void)
{
    struct bed bed = bed_create(4);
    for (int i = 0; i < 1000; i++) {
        CU_ASSERT_EQUAL(submit(&bed, 0), REASON_NONE);
    }
    for (uint64_t task = 1; task <= 1000; task++) {
        uint64_t attempt;
        if (task % 200 != 0) {
            CU_ASSERT(dispatch_cancel(bed.dispatch, task, &attempt, 1));
        }
    }
    struct dispatch_action action;
    uint32_t starts = 0;
    while (dispatch_next(bed.dispatch, 2, &action)) {
        CU_ASSERT_EQUAL(action.type, DISPATCH_START);
        CU_ASSERT_EQUAL(action.task % 200, 0);
        starts++;
    }
    CU_ASSERT_EQUAL(starts, 5);
    CU_ASSERT_EQUAL(dispatch_team_queued(bed.dispatch, "team-0"), 0);
    bed_destroy(&bed);
}

static void
test_cancelled_while_out(void)
{
    struct bed bed = bed_create(1);
    uint64_t attempt;
    submit(&bed, 0);
    struct dispatch_action action = next(&bed, 0);
    CU_ASSERT_FALSE(dispatch_cancel(bed.dispatch, 1, &attempt, 0));
    CU_ASSERT_EQUAL(attempt, action.attempt);
    CU_ASSERT_EQUAL(dispatch_may_send(bed.dispatch, attempt, 0),
                    REASON_CANCELLED);
    CU_ASSERT_FALSE(
        dispatch_attempt_ended(bed.dispatch, attempt, ATTEMPT_NOT_SENT, 0));
    action = next(&bed, 0);
    CU_ASSERT_EQUAL(action.type, DISPATCH_REFUSE);
    CU_ASSERT_EQUAL(action.reason, REASON_CANCELLED);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_NOT_RUN);
    bed_destroy(&bed);
}

static void
test_lost_attempt_stays_counted(void)
{
    struct bed bed = bed_create(1);
    dispatch_set_permits(bed.dispatch, "team-0", 1);
    submit(&bed, 0);
    struct dispatch_action action = next(&bed, 0);
    dispatch_sent(bed.dispatch, action.attempt, 0);
    dispatch_attempt_ended(bed.dispatch, action.attempt, ATTEMPT_LOST, 100);
    action = next(&bed, 100);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(dispatch_team_running(bed.dispatch, "team-0"), 1);
    count_starts(&bed, LEASE_MS + 99);
    CU_ASSERT_EQUAL(dispatch_team_running(bed.dispatch, "team-0"), 1);
    count_starts(&bed, LEASE_MS + LEASE_MARGIN_MAX_MS);
    CU_ASSERT_EQUAL(dispatch_team_running(bed.dispatch, "team-0"), 0);
    bed_destroy(&bed);
}

static void
test_forwarding(void)
{
    struct bed bed = bed_create(1);
    dispatch_set_permits(bed.dispatch, "team-0", 0);
    submit_task(&bed, false, true, 0);
    submit_task(&bed, false, false, 0);
    CU_ASSERT_EQUAL(count_starts(&bed, 0), 0);
    struct dispatch_usage usage = {
        .team = "team-0",
        .pool = "",
        .free_permits = 3,
    };
    dispatch_peer_usage(bed.dispatch, "peer", &usage, 1, 10);
    struct dispatch_action action = next(&bed, 10);
    CU_ASSERT_EQUAL(action.type, DISPATCH_FORWARD);
    CU_ASSERT_STRING_EQUAL(action.peer, "peer");
    /* Not the one that another gateway forwarded here. */
    CU_ASSERT_EQUAL(action.task, 2);
    CU_ASSERT_EQUAL(next(&bed, 10).task, 0);
    CU_ASSERT_FALSE(
        dispatch_forward_ended(bed.dispatch, 2, ATTEMPT_REFUSED, 20));
    CU_ASSERT_EQUAL(dispatch_team_queued(bed.dispatch, "team-0"), 2);
    dispatch_set_permits(bed.dispatch, "team-0", 2);
    CU_ASSERT_EQUAL(count_starts(&bed, 30), 2);
    bed_destroy(&bed);
}

static enum reason
reason_at_deadline(struct bed *bed)
{
    submit(bed, 0);
    CU_ASSERT_EQUAL(next(bed, 0).task, 0);
    struct dispatch_action action = next(bed, DEADLINE_MS);
    CU_ASSERT_EQUAL(action.type, DISPATCH_REFUSE);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_NOT_RUN);
    bed_destroy(bed);
    return action.reason;
}

static void
test_reasons(void)
{
    struct bed bed = bed_create(1);
    dispatch_set_quorum_lease(bed.dispatch, 0);
    CU_ASSERT_EQUAL(reason_at_deadline(&bed), REASON_NO_QUORUM_LEASE);
    bed = bed_create(1);
    dispatch_set_permits(bed.dispatch, "team-0", 0);
    CU_ASSERT_EQUAL(reason_at_deadline(&bed), REASON_TEAM_LIMIT);
    bed = bed_create(0);
    CU_ASSERT_EQUAL(reason_at_deadline(&bed), REASON_NO_HOST);
    bed = bed_create(1);
    bed.fixture->config.dcs[0].state = DC_OUT;
    dispatch_set_config(bed.dispatch, &bed.fixture->config);
    CU_ASSERT_EQUAL(reason_at_deadline(&bed), REASON_DC_OUT_OF_SERVICE);
    bed = bed_create(1);
    dispatch_drain(bed.dispatch);
    CU_ASSERT_EQUAL(submit(&bed, 0), REASON_SHUTDOWN);
    bed_destroy(&bed);
}

/* Two slots and runs of 2 s: within 5 s about five start. */
static void
test_admission_learns(void)
{
    struct bed bed = bed_create(1);
    int64_t now_ms = 0;
    for (int i = 0; i < 10; i++) {
        submit(&bed, now_ms);
        struct dispatch_action action = next(&bed, now_ms);
        CU_ASSERT_EQUAL_FATAL(action.type, DISPATCH_START);
        now_ms += 2000;
        dispatch_attempt_ended(bed.dispatch, action.attempt, ATTEMPT_DONE,
                               now_ms);
    }
    uint32_t admitted = 0;
    enum reason reason = REASON_NONE;
    for (int i = 0; i < 40; i++) {
        now_ms += 20;
        reason = submit(&bed, now_ms);
        admitted += reason == REASON_NONE;
        count_starts(&bed, now_ms);
    }
    CU_ASSERT_EQUAL(reason, REASON_NO_CAPACITY);
    CU_ASSERT(admitted >= SLOTS + 2);
    CU_ASSERT(admitted <= SLOTS + 12);
    /* With few permits here, more come unless the fleet is at the limit. */
    dispatch_set_permits(bed.dispatch, "team-0", 1);
    CU_ASSERT_EQUAL(submit(&bed, now_ms), REASON_NO_CAPACITY);
    bed.fixture->config.teams[0].max_running = SLOTS;
    dispatch_set_config(bed.dispatch, &bed.fixture->config);
    CU_ASSERT_EQUAL(submit(&bed, now_ms), REASON_TEAM_LIMIT);
    bed_destroy(&bed);
}

/* Half of the hosts are in the own data centre: taken when load is equal. */
static void
test_own_dc_first(void)
{
    struct bed bed = bed_create(8);
    for (int i = 0; i < 20; i++) {
        submit(&bed, 0);
        struct dispatch_action action = next(&bed, 0);
        uint32_t host = (uint32_t)g_ascii_strtoull(action.host + 5, NULL, 10);
        CU_ASSERT_STRING_EQUAL(bed.fixture->hosts[host].dc, "dc-1");
        dispatch_attempt_ended(bed.dispatch, action.attempt, ATTEMPT_DONE, 0);
    }
    bed_destroy(&bed);
}

/* Two connections per host, shared with one peer. */
static void
test_connections_shared(void)
{
    struct bed bed = bed_create(8);
    for (size_t i = 0; i < bed.fixture->n_hosts; i++) {
        bed.fixture->hosts[i].connections = 2;
    }
    dispatch_set_hosts(bed.dispatch, bed.fixture->hosts, bed.fixture->n_hosts);
    dispatch_peer_usage(bed.dispatch, "peer", NULL, 0, 0);
    for (int i = 0; i < 20; i++) {
        submit(&bed, 0);
    }
    CU_ASSERT_EQUAL(count_starts(&bed, 0), 8);
    bed_destroy(&bed);
}

static struct dispatch_action
fail_until_refused(struct bed *bed, int64_t now_ms, uint32_t *attempts)
{
    submit_task(bed, true, false, now_ms);
    struct dispatch_action action = next(bed, now_ms);
    *attempts = 0;
    while (action.type == DISPATCH_START && action.task != 0) {
        ++*attempts;
        dispatch_sent(bed->dispatch, action.attempt, now_ms);
        dispatch_attempt_ended(bed->dispatch, action.attempt, ATTEMPT_FAILED,
                               now_ms);
        action = next(bed, now_ms);
    }
    return action;
}

/* Tasks that fail everywhere, with no success between, eject no host. */
static void
test_hosts_absolved(void)
{
    struct bed bed = bed_create(6);
    int64_t now_ms = 0;
    for (int i = 0; i < 200; i++) {
        submit(&bed, now_ms);
        struct dispatch_action action = next(&bed, now_ms);
        dispatch_attempt_ended(bed.dispatch, action.attempt, ATTEMPT_DONE,
                               now_ms);
    }
    for (int i = 0; i < 60; i++) {
        /* Time in which the retry budget fills. */
        now_ms += 3000;
        uint32_t attempts;
        struct dispatch_action action =
            fail_until_refused(&bed, now_ms, &attempts);
        CU_ASSERT_EQUAL(attempts, 3);
        CU_ASSERT_EQUAL(action.reason, REASON_NEVER_RUNS);
        CU_ASSERT_EQUAL(action.outcome, OUTCOME_UNKNOWN);
    }
    struct dispatch_explanation explanation;
    CU_ASSERT(dispatch_explain(bed.dispatch, "queue-0", now_ms, &explanation));
    CU_ASSERT_EQUAL(explanation.hosts_ejected, 0);
    bed_destroy(&bed);
}

/* Many teams in pools with room are reported as one entry per pool. */
static void
test_usage_folds(void)
{
    struct fixture *fixture = fixture_create(&(struct fixture_size){
        .dcs = 1,
        .pools = 2,
        .teams = 600,
        .slots = SLOTS,
    });
    struct dispatch *dispatch =
        dispatch_create(&(struct dispatch_options){.seed = 1});
    struct bed bed = bed_create(1);
    dispatch_set_config(dispatch, &fixture->config);
    for (uint32_t i = 0; i < 1200; i++) {
        int64_t retry_after_ms;
        struct dispatch_task task = fixture_task(fixture, i / 2, i % 2, i + 1);
        CU_ASSERT_EQUAL(dispatch_submit(dispatch, &task, 0, &retry_after_ms),
                        REASON_NONE);
    }
    const struct dispatch_usage *entries;
    CU_ASSERT_EQUAL_FATAL(dispatch_usage_get(dispatch, &entries, 0), 2);
    CU_ASSERT_EQUAL(entries[0].queued + entries[1].queued, 1200);
    /* What is not listed by team counts as well. */
    struct dispatch_usage full = {
        .team = "",
        .pool = "pool-0",
        .running = SLOTS,
    };
    dispatch_peer_usage(bed.dispatch, "peer", &full, 1, 0);
    submit(&bed, 0);
    CU_ASSERT_EQUAL(count_starts(&bed, 0), 0);
    dispatch_peer_gone(bed.dispatch, "peer");
    CU_ASSERT_EQUAL(count_starts(&bed, 100), 1);
    bed_destroy(&bed);
    dispatch_destroy(dispatch);
    fixture_destroy(fixture);
}

static void
test_estimate(void)
{
    struct estimate estimate = {.total = 0};
    for (int i = 0; i < 99; i++) {
        estimate_add(&estimate, 100);
    }
    estimate_add(&estimate, 100000000);
    int64_t median_ms = estimate_quantile_ms(&estimate, 0.5);
    CU_ASSERT(median_ms > 80 && median_ms < 125);
    for (int i = 0; i < 2000; i++) {
        estimate_add(&estimate, 1000);
    }
    median_ms = estimate_quantile_ms(&estimate, 0.5);
    CU_ASSERT(median_ms > 800 && median_ms < 1250);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"queue bound", test_queue_bound},
        {"cancellation wave", test_cancellation_wave},
        {"cancelled while out", test_cancelled_while_out},
        {"lost attempt stays counted", test_lost_attempt_stays_counted},
        {"forwarding", test_forwarding},
        {"reasons", test_reasons},
        {"admission learns", test_admission_learns},
        {"own data centre first", test_own_dc_first},
        {"connections are shared", test_connections_shared},
        {"hosts absolved", test_hosts_absolved},
        {"usage folds", test_usage_folds},
        {"estimate", test_estimate},
    };
    return suite_main("dispatch", tests, G_N_ELEMENTS(tests));
}
