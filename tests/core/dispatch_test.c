/* Single decisions of one dispatcher: admission, starts, refusals, forwards.
 */
#include "../suite.h"
#include "config_fixture.h"
#include "core/estimate.h"

enum {
    SLOT_COUNT = 2,
    DEADLINE_MS = 5000,
    LEASE_MS = 10000,
    LEASE_MARGIN_MAX_MS = 5000,
};

struct env {
    struct fixture *fixture;
    struct dispatch *dispatch;
    uint64_t tasks;
};

static struct env
env_create(uint32_t hosts)
{
    struct env env = {
        .fixture = fixture_create(&(struct fixture_size){
            .dcs = 2,
            .pools = 1,
            .teams = 2,
            .hosts = hosts,
            .slots = SLOT_COUNT,
        }),
        .dispatch = dispatch_create(&(struct dispatch_options){
            .seed = 1,
            .dc = "dc-1",
        }),
    };
    dispatch_set_config(env.dispatch, &env.fixture->config);
    dispatch_set_hosts(env.dispatch, env.fixture->hosts, env.fixture->n_hosts);
    dispatch_set_quorum_lease(env.dispatch, INT64_MAX);
    dispatch_set_permits(env.dispatch, "team-0", 100);
    dispatch_set_permits(env.dispatch, "team-1", 100);
    return env;
}

static void
env_destroy(struct env *env)
{
    dispatch_destroy(env->dispatch);
    fixture_destroy(env->fixture);
}

static enum reason
submit_task(struct env *env, bool idempotent, bool forwarded, int64_t now_ms)
{
    struct dispatch_task task = fixture_task(env->fixture, 0, 0, ++env->tasks);
    task.idempotent = idempotent;
    task.forwarded = forwarded;
    int64_t retry_after_ms;
    return dispatch_submit(env->dispatch, &task, now_ms, &retry_after_ms);
}

static enum reason
submit(struct env *env, int64_t now_ms)
{
    return submit_task(env, false, false, now_ms);
}

static struct dispatch_action
next_action(struct env *env, int64_t now_ms)
{
    struct dispatch_action action = {.task = 0};
    dispatch_next(env->dispatch, now_ms, &action);
    return action;
}

static uint32_t
count_starts(struct env *env, int64_t now_ms)
{
    uint32_t starts = 0;
    struct dispatch_action action;
    while (dispatch_next(env->dispatch, now_ms, &action)) {
        starts += action.type == DISPATCH_START;
    }
    return starts;
}

static void
test_queue_limit(void)
{
    struct env env = env_create(1);
    env.fixture->config.queues[0].max_queued = 5;
    dispatch_set_config(env.dispatch, &env.fixture->config);
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_EQUAL(submit(&env, 0), REASON_NONE);
    }
    CU_ASSERT_EQUAL(submit(&env, 0), REASON_QUEUE_FULL);
    CU_ASSERT_EQUAL(dispatch_team_queued(env.dispatch, "team-0"), 5);
    env_destroy(&env);
}

/* Cancelled tasks have to leave the queue: otherwise they would still start,
 * or occupy places in it. */
static void
test_mass_cancellation(void)
{
    struct env env = env_create(4);
    for (int i = 0; i < 1000; i++) {
        CU_ASSERT_EQUAL(submit(&env, 0), REASON_NONE);
    }
    for (uint64_t task = 1; task <= 1000; task++) {
        uint64_t attempt;
        if (task % 200 != 0) {
            CU_ASSERT(dispatch_cancel(env.dispatch, task, &attempt, 1));
        }
    }
    struct dispatch_action action;
    uint32_t starts = 0;
    while (dispatch_next(env.dispatch, 2, &action)) {
        CU_ASSERT_EQUAL(action.type, DISPATCH_START);
        CU_ASSERT_EQUAL(action.task % 200, 0);
        starts++;
    }
    CU_ASSERT_EQUAL(starts, 5);
    CU_ASSERT_EQUAL(dispatch_team_queued(env.dispatch, "team-0"), 0);
    env_destroy(&env);
}

/* The caller gives up after the start was decided, before the attempt was
 * sent: it must not be sent any more, and is reported as not run. */
static void
test_cancelled_after_start(void)
{
    struct env env = env_create(1);
    uint64_t attempt;
    submit(&env, 0);
    struct dispatch_action action = next_action(&env, 0);
    CU_ASSERT_FALSE(dispatch_cancel(env.dispatch, 1, &attempt, 0));
    CU_ASSERT_EQUAL(attempt, action.attempt);
    CU_ASSERT_EQUAL(dispatch_may_send(env.dispatch, attempt, 0),
                    REASON_CANCELLED);
    CU_ASSERT_FALSE(
        dispatch_attempt_ended(env.dispatch, attempt, ATTEMPT_NOT_SENT, 0));
    action = next_action(&env, 0);
    CU_ASSERT_EQUAL(action.type, DISPATCH_REFUSE);
    CU_ASSERT_EQUAL(action.reason, REASON_CANCELLED);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_NOT_RUN);
    env_destroy(&env);
}

/* An attempt whose connection broke may still run. Freeing its permit before
 * its lease has expired would let the team exceed its limit. */
static void
test_lost_attempt_holds_permit(void)
{
    struct env env = env_create(1);
    dispatch_set_permits(env.dispatch, "team-0", 1);
    submit(&env, 0);
    struct dispatch_action action = next_action(&env, 0);
    dispatch_sent(env.dispatch, action.attempt, 0);
    dispatch_attempt_ended(env.dispatch, action.attempt, ATTEMPT_LOST, 100);
    action = next_action(&env, 100);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(dispatch_team_running(env.dispatch, "team-0"), 1);
    count_starts(&env, LEASE_MS + 99);
    CU_ASSERT_EQUAL(dispatch_team_running(env.dispatch, "team-0"), 1);
    count_starts(&env, LEASE_MS + LEASE_MARGIN_MAX_MS);
    CU_ASSERT_EQUAL(dispatch_team_running(env.dispatch, "team-0"), 0);
    env_destroy(&env);
}

/* Tasks go to a peer with free permits, but only once: else two gateways could
 * send a task back and forth. */
static void
test_forwarding(void)
{
    struct env env = env_create(1);
    dispatch_set_permits(env.dispatch, "team-0", 0);
    submit_task(&env, false, true, 0);
    submit_task(&env, false, false, 0);
    CU_ASSERT_EQUAL(count_starts(&env, 0), 0);
    struct dispatch_usage usage = {
        .team = "team-0",
        .pool = "",
        .free_permits = 3,
    };
    dispatch_peer_usage(env.dispatch, "peer", &usage, 1, 10);
    struct dispatch_action action = next_action(&env, 10);
    CU_ASSERT_EQUAL(action.type, DISPATCH_FORWARD);
    CU_ASSERT_STRING_EQUAL(action.peer, "peer");
    /* Task 1 was forwarded here, so it is not forwarded again. */
    CU_ASSERT_EQUAL(action.task, 2);
    CU_ASSERT_EQUAL(next_action(&env, 10).task, 0);
    CU_ASSERT_FALSE(
        dispatch_forward_ended(env.dispatch, 2, ATTEMPT_REFUSED, 20));
    CU_ASSERT_EQUAL(dispatch_team_queued(env.dispatch, "team-0"), 2);
    dispatch_set_permits(env.dispatch, "team-0", 2);
    CU_ASSERT_EQUAL(count_starts(&env, 30), 2);
    env_destroy(&env);
}

static enum reason
reason_at_deadline(struct env *env)
{
    submit(env, 0);
    CU_ASSERT_EQUAL(next_action(env, 0).task, 0);
    struct dispatch_action action = next_action(env, DEADLINE_MS);
    CU_ASSERT_EQUAL(action.type, DISPATCH_REFUSE);
    CU_ASSERT_EQUAL(action.outcome, OUTCOME_NOT_RUN);
    env_destroy(env);
    return action.reason;
}

static void
test_reasons(void)
{
    struct env env = env_create(1);
    dispatch_set_quorum_lease(env.dispatch, 0);
    CU_ASSERT_EQUAL(reason_at_deadline(&env), REASON_NO_QUORUM_LEASE);
    env = env_create(1);
    dispatch_set_permits(env.dispatch, "team-0", 0);
    CU_ASSERT_EQUAL(reason_at_deadline(&env), REASON_TEAM_LIMIT);
    env = env_create(0);
    CU_ASSERT_EQUAL(reason_at_deadline(&env), REASON_NO_HOST);
    env = env_create(1);
    env.fixture->config.dcs[0].state = DC_OUT_OF_SERVICE;
    dispatch_set_config(env.dispatch, &env.fixture->config);
    CU_ASSERT_EQUAL(reason_at_deadline(&env), REASON_DC_OUT_OF_SERVICE);
    env = env_create(1);
    dispatch_drain(env.dispatch);
    CU_ASSERT_EQUAL(submit(&env, 0), REASON_SHUTDOWN);
    env_destroy(&env);
}

/* Two slots and runs of 2 s: about five tasks can start within the deadline of
 * 5 s. The dispatcher has to learn this from run times and refuse the rest. */
static void
test_admission_learns_run_time(void)
{
    struct env env = env_create(1);
    int64_t now_ms = 0;
    for (int i = 0; i < 10; i++) {
        submit(&env, now_ms);
        struct dispatch_action action = next_action(&env, now_ms);
        CU_ASSERT_EQUAL_FATAL(action.type, DISPATCH_START);
        now_ms += 2000;
        dispatch_attempt_ended(env.dispatch, action.attempt, ATTEMPT_DONE,
                               now_ms);
    }
    uint32_t admitted = 0;
    enum reason reason = REASON_NONE;
    for (int i = 0; i < 40; i++) {
        now_ms += 20;
        reason = submit(&env, now_ms);
        admitted += reason == REASON_NONE;
        count_starts(&env, now_ms);
    }
    CU_ASSERT_EQUAL(reason, REASON_NO_CAPACITY);
    CU_ASSERT(admitted >= SLOT_COUNT + 2);
    CU_ASSERT(admitted <= SLOT_COUNT + 12);
    /* Few permits here don't count as the team's limit, since more can be
     * moved here, unless the whole fleet has reached max_running. */
    dispatch_set_permits(env.dispatch, "team-0", 1);
    CU_ASSERT_EQUAL(submit(&env, now_ms), REASON_NO_CAPACITY);
    env.fixture->config.teams[0].max_running = SLOT_COUNT;
    dispatch_set_config(env.dispatch, &env.fixture->config);
    CU_ASSERT_EQUAL(submit(&env, now_ms), REASON_TEAM_LIMIT);
    env_destroy(&env);
}

/* Half of the hosts are in the gateway's data centre; with equal load they are
 * preferred. */
static void
test_local_dc_preferred(void)
{
    struct env env = env_create(8);
    for (int i = 0; i < 20; i++) {
        submit(&env, 0);
        struct dispatch_action action = next_action(&env, 0);
        uint32_t host = (uint32_t)g_ascii_strtoull(action.host + 5, NULL, 10);
        CU_ASSERT_STRING_EQUAL(env.fixture->hosts[host].dc, "dc-1");
        dispatch_attempt_ended(env.dispatch, action.attempt, ATTEMPT_DONE, 0);
    }
    env_destroy(&env);
}

/* Hosts accept two connections, shared with one peer gateway: this one may use
 * one of them per host. */
static void
test_connections_shared(void)
{
    struct env env = env_create(8);
    for (size_t i = 0; i < env.fixture->n_hosts; i++) {
        env.fixture->hosts[i].connections = 2;
    }
    dispatch_set_hosts(env.dispatch, env.fixture->hosts, env.fixture->n_hosts);
    dispatch_peer_usage(env.dispatch, "peer", NULL, 0, 0);
    for (int i = 0; i < 20; i++) {
        submit(&env, 0);
    }
    CU_ASSERT_EQUAL(count_starts(&env, 0), 8);
    env_destroy(&env);
}

static struct dispatch_action
fail_until_refused(struct env *env, int64_t now_ms, uint32_t *attempts)
{
    submit_task(env, true, false, now_ms);
    struct dispatch_action action = next_action(env, now_ms);
    *attempts = 0;
    while (action.type == DISPATCH_START && action.task != 0) {
        ++*attempts;
        dispatch_sent(env->dispatch, action.attempt, now_ms);
        dispatch_attempt_ended(env->dispatch, action.attempt, ATTEMPT_FAILED,
                               now_ms);
        action = next_action(env, now_ms);
    }
    return action;
}

/* Tasks that fail on every host are at fault themselves; the failures must not
 * eject the hosts, although no success comes between them. */
static void
test_failing_tasks_eject_no_host(void)
{
    struct env env = env_create(6);
    int64_t now_ms = 0;
    for (int i = 0; i < 200; i++) {
        submit(&env, now_ms);
        struct dispatch_action action = next_action(&env, now_ms);
        dispatch_attempt_ended(env.dispatch, action.attempt, ATTEMPT_DONE,
                               now_ms);
    }
    for (int i = 0; i < 60; i++) {
        /* Lets the retry budget refill. */
        now_ms += 3000;
        uint32_t attempts;
        struct dispatch_action action =
            fail_until_refused(&env, now_ms, &attempts);
        CU_ASSERT_EQUAL(attempts, 3);
        CU_ASSERT_EQUAL(action.reason, REASON_NEVER_RUNS);
        CU_ASSERT_EQUAL(action.outcome, OUTCOME_UNKNOWN);
    }
    struct dispatch_explanation explanation;
    CU_ASSERT(dispatch_explain(env.dispatch, "queue-0", now_ms, &explanation));
    CU_ASSERT_EQUAL(explanation.hosts_ejected, 0);
    env_destroy(&env);
}

/* Usage of many teams is reported to peers as one entry per pool while the
 * pools have free capacity; receivers have to count these entries as well. */
static void
test_usage_aggregated(void)
{
    struct fixture *fixture = fixture_create(&(struct fixture_size){
        .dcs = 1,
        .pools = 2,
        .teams = 600,
        .slots = SLOT_COUNT,
    });
    struct dispatch *dispatch =
        dispatch_create(&(struct dispatch_options){.seed = 1});
    struct env env = env_create(1);
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
    /* A peer's entry without a team fills the pool. */
    struct dispatch_usage full = {
        .team = "",
        .pool = "pool-0",
        .running = SLOT_COUNT,
    };
    dispatch_peer_usage(env.dispatch, "peer", &full, 1, 0);
    submit(&env, 0);
    CU_ASSERT_EQUAL(count_starts(&env, 0), 0);
    dispatch_peer_removed(env.dispatch, "peer");
    CU_ASSERT_EQUAL(count_starts(&env, 100), 1);
    env_destroy(&env);
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
        {"queue limit", test_queue_limit},
        {"mass cancellation", test_mass_cancellation},
        {"cancelled after start", test_cancelled_after_start},
        {"lost attempt holds its permit", test_lost_attempt_holds_permit},
        {"forwarding", test_forwarding},
        {"reasons", test_reasons},
        {"admission learns run time", test_admission_learns_run_time},
        {"local data centre preferred", test_local_dc_preferred},
        {"connections are shared", test_connections_shared},
        {"failing tasks eject no host", test_failing_tasks_eject_no_host},
        {"usage aggregated by pool", test_usage_aggregated},
        {"estimate", test_estimate},
    };
    return suite_main("dispatch", tests, G_N_ELEMENTS(tests));
}
