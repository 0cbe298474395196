/*
 * Invariants of the dispatcher under random schedules: arrivals, attempt
 * results, cancellations, changes of configuration, hosts and permits, peers,
 * and expiry of the quorum lease. Guards against starts that are not allowed
 * (host gone or draining, data centre out of service, key withdrawn, permits
 * exceeded, no quorum lease), tasks that get no result or two, and tasks
 * reported as not run, or sent again, although they may have run.
 */
#include <glib.h>
#include <stdio.h>

#include "../suite.h"
#include "common/random.h"
#include "config_fixture.h"

enum {
    SCHEDULE_COUNT = 1500,
    STEP_COUNT = 400,
    TEAM_COUNT = 3,
    POOL_COUNT = 2,
    DC_COUNT = 2,
    HOST_COUNT = 8,
    QUEUED_MAX = 12,
    ATTEMPTS_MAX = 4096,
    LEASE_MS = 3000,
};

enum task_result {
    RESULT_NONE,
    RESULT_ANSWERED,
    RESULT_REFUSED,
    RESULT_CANCELLED,
};

/**
 * struct model_task - a submitted task
 * @n_results: results reported; exactly one at the end
 * @possible_runs: attempts and forwards sent and not refused
 */
struct model_task {
    enum task_result result;
    uint32_t n_results;
    uint32_t team;
    uint32_t possible_runs;
    bool idempotent;
    bool forwarded;
};

/**
 * struct model_attempt - an attempt as its backend server may see it
 * @open: may still run there, so it counts against the team's permits
 * @lost: the connection broke after it was sent, at @lost_ms
 */
struct model_attempt {
    uint64_t task;
    uint32_t team;
    uint32_t host;
    bool open;
    bool lost;
    bool sent;
    int64_t lost_ms;
};

struct model {
    struct random random;
    struct dispatch *dispatch;
    struct fixture *fixture;
    int64_t now_ms;
    int64_t quorum_lease_until_ms;
    uint32_t permits[TEAM_COUNT];
    uint32_t running[TEAM_COUNT];
    struct model_task tasks[STEP_COUNT * 4];
    uint64_t n_tasks;
    struct model_attempt attempts[ATTEMPTS_MAX];
    uint64_t n_attempts;
    uint64_t starts;
    uint32_t violations;
    bool host_fails[HOST_COUNT];
    uint32_t n_listed_hosts;
};

static void
check(struct model *model, bool holds, const char *what)
{
    if (!holds && model->violations++ == 0) {
        printf("\n  violated at %lld ms: %s\n", (long long)model->now_ms,
               what);
    }
}

static void
end_task(struct model *model, uint64_t id, enum task_result result)
{
    struct model_task *task = &model->tasks[id];
    check(model, task->n_results == 0, "task with two results");
    task->n_results++;
    task->result = result;
}

static void
check_start(struct model *model, uint32_t host_index, uint32_t team)
{
    const struct dispatch_host *host = &model->fixture->hosts[host_index];
    const struct config *config = &model->fixture->config;
    check(model, host->accepting, "start on a host that does not accept work");
    check(model, host_index < model->n_listed_hosts,
          "start on a host that is not listed");
    uint32_t dc = (uint32_t)g_ascii_strtoull(host->dc + 3, NULL, 10);
    check(model, config->dcs[dc].state == DC_IN_SERVICE,
          "start in a data centre out of service");
    check(model, config->teams[team].n_keys == 1, "start for a withdrawn key");
    check(model, model->running[team] <= model->permits[team],
          "more running than permits");
    check(model, model->now_ms < model->quorum_lease_until_ms,
          "start without a quorum lease");
}

static void
start_attempt(struct model *model, const struct dispatch_action *action)
{
    uint32_t host = (uint32_t)g_ascii_strtoull(action->host + 5, NULL, 10);
    struct model_task *task = &model->tasks[action->task];
    check(model, task->n_results == 0,
          "start of a task that already has a result");
    model->attempts[action->attempt] = (struct model_attempt){
        .task = action->task,
        .team = task->team,
        .host = host,
        .open = true,
    };
    model->n_attempts = action->attempt;
    model->starts++;
    model->running[task->team]++;
    check_start(model, host, task->team);
}

static void
refuse_task(struct model *model, const struct dispatch_action *action)
{
    const struct model_task *task = &model->tasks[action->task];
    if (action->outcome == OUTCOME_NOT_RUN) {
        check(model, task->possible_runs == 0,
              "reported as not run, but may have run");
    }
    end_task(model, action->task, RESULT_REFUSED);
}

static void
expire_leases(struct model *model)
{
    for (uint64_t i = 1; i <= model->n_attempts; i++) {
        struct model_attempt *attempt = &model->attempts[i];
        /* The backend server ends it after its lease; the dispatcher adds a
         * margin to that. */
        if (attempt->open && attempt->lost &&
            model->now_ms - attempt->lost_ms >= LEASE_MS) {
            attempt->open = false;
            model->running[attempt->team]--;
        }
    }
}

static void
execute_actions(struct model *model)
{
    struct dispatch_action action;
    expire_leases(model);
    while (dispatch_next(model->dispatch, model->now_ms, &action)) {
        if (action.type == DISPATCH_START) {
            start_attempt(model, &action);
        }
        else if (action.type == DISPATCH_REFUSE) {
            refuse_task(model, &action);
        }
        else {
            check(model, !model->tasks[action.task].forwarded,
                  "forwarded again during a forward");
            model->tasks[action.task].forwarded = true;
        }
    }
}

static void
submit(struct model *model)
{
    uint32_t team = random_below(&model->random, TEAM_COUNT);
    uint32_t queue = random_below(&model->random, POOL_COUNT);
    uint64_t id = ++model->n_tasks;
    struct dispatch_task task = fixture_task(model->fixture, team, queue, id);
    task.idempotent = random_below(&model->random, 2) == 0;
    task.forwarded = random_below(&model->random, 4) == 0;
    model->tasks[id] = (struct model_task){
        .team = team,
        .idempotent = task.idempotent,
    };
    int64_t retry_after_ms;
    if (dispatch_submit(model->dispatch, &task, model->now_ms,
                        &retry_after_ms) != REASON_NONE) {
        end_task(model, id, RESULT_REFUSED);
    }
}

static void
send_attempt(struct model *model, uint64_t id)
{
    struct model_attempt *attempt = &model->attempts[id];
    struct model_task *task = &model->tasks[attempt->task];
    if (dispatch_may_send(model->dispatch, id, model->now_ms) != REASON_NONE) {
        attempt->open = false;
        model->running[attempt->team]--;
        if (dispatch_attempt_ended(model->dispatch, id, ATTEMPT_NOT_SENT,
                                   model->now_ms)) {
            end_task(model, attempt->task, RESULT_ANSWERED);
        }
        return;
    }
    check_start(model, attempt->host, attempt->team);
    attempt->sent = true;
    task->possible_runs++;
    check(model, task->idempotent || task->possible_runs == 1,
          "non-idempotent task sent twice");
    dispatch_sent(model->dispatch, id, model->now_ms);
}

static enum attempt_result
choose_result(struct model *model, const struct model_attempt *attempt)
{
    if (model->host_fails[attempt->host]) {
        return ATTEMPT_FAILED;
    }
    uint32_t roll = random_below(&model->random, 20);
    return roll < 13   ? ATTEMPT_DONE
           : roll < 15 ? ATTEMPT_FAILED
           : roll < 17 ? ATTEMPT_REFUSED
           : roll < 19 ? ATTEMPT_LOST
                       : ATTEMPT_STOPPED;
}

static void
end_attempt(struct model *model, uint64_t id)
{
    struct model_attempt *attempt = &model->attempts[id];
    enum attempt_result result = choose_result(model, attempt);
    if (result == ATTEMPT_REFUSED) {
        model->tasks[attempt->task].possible_runs--;
    }
    if (result == ATTEMPT_LOST) {
        attempt->lost = true;
        attempt->lost_ms = model->now_ms;
    }
    else {
        attempt->open = false;
        model->running[attempt->team]--;
    }
    if (dispatch_attempt_ended(model->dispatch, id, result, model->now_ms)) {
        end_task(model, attempt->task, RESULT_ANSWERED);
    }
}

static void
step_attempt(struct model *model)
{
    if (model->n_attempts == 0) {
        return;
    }
    uint64_t id =
        1 + random_below(&model->random, (uint32_t)model->n_attempts);
    for (uint64_t i = 0; i < model->n_attempts; i++) {
        struct model_attempt *attempt = &model->attempts[id];
        if (attempt->open && !attempt->lost) {
            break;
        }
        id = id % model->n_attempts + 1;
    }
    struct model_attempt *attempt = &model->attempts[id];
    if (!attempt->open) {
        return;
    }
    if (attempt->lost) {
        attempt->open = false;
        model->running[attempt->team]--;
        dispatch_attempt_resolved(model->dispatch, id, model->now_ms);
    }
    else if (attempt->sent) {
        end_attempt(model, id);
    }
    else {
        send_attempt(model, id);
    }
}

static void
cancel(struct model *model)
{
    if (model->n_tasks == 0) {
        return;
    }
    uint64_t id = 1 + random_below(&model->random, (uint32_t)model->n_tasks);
    uint64_t attempt;
    if (dispatch_cancel(model->dispatch, id, &attempt, model->now_ms)) {
        end_task(model, id, RESULT_CANCELLED);
    }
}

static void
move_queue(struct model *model)
{
    struct config_queue *queue =
        &model->fixture->config
             .queues[random_below(&model->random, POOL_COUNT)];
    g_free(queue->pool);
    queue->pool =
        fixture_name("pool", random_below(&model->random, POOL_COUNT));
    queue->urgent = !queue->urgent;
}

static void
change_config(struct model *model)
{
    struct config *config = &model->fixture->config;
    uint32_t roll = random_below(&model->random, 6);
    if (roll == 0) {
        uint32_t dc = random_below(&model->random, DC_COUNT);
        config->dcs[dc].state = config->dcs[dc].state == DC_IN_SERVICE
                                    ? DC_OUT_OF_SERVICE
                                    : DC_IN_SERVICE;
    }
    else if (roll == 1) {
        uint32_t team = random_below(&model->random, TEAM_COUNT);
        config->teams[team].n_keys = 1 - config->teams[team].n_keys;
    }
    else if (roll == 2) {
        uint32_t host = random_below(&model->random, HOST_COUNT);
        model->fixture->hosts[host].accepting =
            !model->fixture->hosts[host].accepting;
    }
    else if (roll == 3) {
        model->n_listed_hosts = HOST_COUNT - random_below(&model->random, 4);
    }
    else if (roll == 4) {
        move_queue(model);
    }
    else {
        uint32_t host = random_below(&model->random, HOST_COUNT);
        model->host_fails[host] = !model->host_fails[host];
    }
    dispatch_set_config(model->dispatch, config);
    dispatch_set_hosts(model->dispatch, model->fixture->hosts,
                       model->n_listed_hosts);
}

static void
change_permits(struct model *model)
{
    uint32_t team = random_below(&model->random, TEAM_COUNT);
    char name[FIXTURE_NAME_BYTES];
    g_snprintf(name, sizeof(name), "team-%u", team);
    uint32_t permits = random_below(&model->random, 8);
    model->permits[team] = permits;
    dispatch_set_permits(model->dispatch, name, permits);
}

static void
report_peer_usage(struct model *model)
{
    struct dispatch_usage entry = {
        .team = "team-1",
        .pool = "pool-0",
        .running = random_below(&model->random, 10),
        .queued = random_below(&model->random, 10),
        .free_permits = random_below(&model->random, 3),
    };
    if (random_below(&model->random, 10) == 0) {
        dispatch_peer_removed(model->dispatch, "peer");
        return;
    }
    dispatch_peer_usage(model->dispatch, "peer", &entry, 1, model->now_ms);
}

static void
end_forward(struct model *model, uint64_t id)
{
    struct model_task *task = &model->tasks[id];
    static const enum attempt_result results[] = {
        ATTEMPT_DONE,     ATTEMPT_FAILED, ATTEMPT_REFUSED,
        ATTEMPT_NOT_SENT, ATTEMPT_LOST,
    };
    enum attempt_result result =
        results[random_below(&model->random, G_N_ELEMENTS(results))];
    bool ran = result != ATTEMPT_REFUSED && result != ATTEMPT_NOT_SENT;
    task->forwarded = false;
    task->possible_runs += ran;
    if (dispatch_forward_ended(model->dispatch, id, result, model->now_ms)) {
        end_task(model, id, RESULT_ANSWERED);
    }
}

static void
end_forwards(struct model *model, uint32_t one_in)
{
    for (uint64_t id = 1; id <= model->n_tasks; id++) {
        if (model->tasks[id].forwarded &&
            random_below(&model->random, one_in) == 0) {
            end_forward(model, id);
        }
    }
}

static void
step(struct model *model)
{
    uint32_t roll = random_below(&model->random, 100);
    if (roll < 38) {
        submit(model);
    }
    else if (roll < 80) {
        step_attempt(model);
    }
    else if (roll < 84) {
        cancel(model);
    }
    else if (roll < 87) {
        change_config(model);
    }
    else if (roll < 91) {
        change_permits(model);
    }
    else if (roll < 94) {
        report_peer_usage(model);
    }
    else if (roll < 96) {
        model->now_ms += random_below(&model->random, 1500);
    }
    else {
        model->quorum_lease_until_ms =
            model->now_ms + random_below(&model->random, 2000);
        dispatch_set_quorum_lease(model->dispatch,
                                  model->quorum_lease_until_ms);
    }
    model->now_ms += random_below(&model->random, 30);
    end_forwards(model, 10);
    execute_actions(model);
}

static void
run_to_completion(struct model *model)
{
    for (uint32_t i = 0; i < STEP_COUNT * 2; i++) {
        step_attempt(model);
        end_forwards(model, 1);
        model->now_ms += 50;
        execute_actions(model);
    }
    for (uint64_t id = 1; id <= model->n_tasks; id++) {
        check(model, model->tasks[id].n_results == 1, "task without a result");
    }
}

static struct model *
model_create(uint64_t seed)
{
    struct model *model = g_new0(struct model, 1);
    model->random = random_seeded(seed);
    model->fixture = fixture_create(&(struct fixture_size){
        .dcs = DC_COUNT,
        .pools = POOL_COUNT,
        .teams = TEAM_COUNT,
        .hosts = HOST_COUNT,
        .slots = 2,
    });
    for (uint32_t i = 0; i < POOL_COUNT; i++) {
        struct config_queue *queue = &model->fixture->config.queues[i];
        queue->max_queued = QUEUED_MAX;
        queue->max_run_ms = LEASE_MS;
        queue->urgent = i == 1;
    }
    model->n_listed_hosts = HOST_COUNT;
    model->dispatch = dispatch_create(&(struct dispatch_options){
        .seed = seed,
        .dc = "dc-0",
    });
    dispatch_set_config(model->dispatch, &model->fixture->config);
    dispatch_set_hosts(model->dispatch, model->fixture->hosts,
                       model->fixture->n_hosts);
    for (uint32_t i = 0; i < TEAM_COUNT; i++) {
        change_permits(model);
    }
    return model;
}

static void
model_destroy(struct model *model)
{
    dispatch_destroy(model->dispatch);
    fixture_destroy(model->fixture);
    g_free(model);
}

static void
test_schedules(void)
{
    uint64_t starts = 0;
    for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++) {
        struct model *model = model_create(seed);
        for (uint32_t i = 0; i < STEP_COUNT && model->violations == 0; i++) {
            step(model);
        }
        run_to_completion(model);
        starts += model->starts;
        if (model->violations > 0) {
            printf("  seed %llu\n", (unsigned long long)seed);
        }
        CU_ASSERT_EQUAL_FATAL(model->violations, 0);
        model_destroy(model);
    }
    /* Schedules that start no work would test nothing. */
    CU_ASSERT(starts > SCHEDULE_COUNT * 20);
    printf(" %llu starts ", (unsigned long long)starts);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"random schedules", test_schedules},
    };
    return suite_main("dispatch properties", tests, G_N_ELEMENTS(tests));
}
