#include "fleet_fixture.h"

#include <stdio.h>
#include <string.h>

#include "platform/decode.h"

enum {
    STOP_MS = 500,
    LEADER_TOKEN = 7,
    BATCH = 15,
    HOSTS_MAX = 16,
    NAME_BYTES = 8,
    BACKEND_CPU_MILLI = 16000,
    START_MS = 100000,
};

static void
recorded_command_free(void *data)
{
    struct recorded_command *recorded = data;
    g_free(recorded->target);
    g_free(recorded->task);
    g_free(recorded->ticket);
    g_free(recorded);
}

static struct recorded_command *
record(struct fleet_fixture *fixture, enum command_kind kind,
       const char *target)
{
    struct recorded_command *recorded = g_new0(struct recorded_command, 1);
    recorded->kind = kind;
    recorded->target = g_strdup(target);
    recorded->at_ms = fixture->now_ms;
    g_ptr_array_add(fixture->commands, recorded);
    return recorded;
}

static void
op_start(void *ctx, const struct start_command *command)
{
    struct recorded_command *recorded =
        record(ctx, COMMAND_START, command->backend->entry.id);
    recorded->handle = command->handle;
    recorded->number = command->run->number;
    recorded->token = backend_fencing_token(command->backend, LEADER_TOKEN);
    recorded->ticket = g_strdup(command->ticket);
    recorded->task = g_strdup_printf("%s.%u.%u.%u", command->run->job->id,
                                     command->run->occurrence,
                                     command->run->step, command->run->index);
    struct fleet_fixture *fixture = ctx;
    if (fixture->starts_end_leadership) {
        scheduler_set_leadership_valid(fixture->sched, false);
    }
    if (fixture->refuse_starts || fixture->starts_end_leadership) {
        scheduler_on_start(fixture->sched, command->handle, START_NOT_SENT, 0);
    }
}

static void
op_stop(void *ctx, const struct stop_command *command)
{
    struct recorded_command *recorded =
        record(ctx, COMMAND_STOP, command->backend->entry.id);
    recorded->handle = command->handle;
    recorded->attempt = command->attempt;
    recorded->number = command->number;
    recorded->token = backend_fencing_token(command->backend, LEADER_TOKEN);
    recorded->task = g_strdup(command->task);
}

static void
op_request_report(void *ctx, struct backend *backend,
                  const struct report_request *request, int64_t until_ms,
                  int64_t acked_completion, int64_t wait_ms)
{
    (void)until_ms;
    (void)wait_ms;
    struct recorded_command *recorded =
        record(ctx, COMMAND_REQUEST_REPORT, backend->entry.id);
    recorded->token = backend_fencing_token(backend, LEADER_TOKEN);
    recorded->acked_completion = acked_completion;
    recorded->request = *request;
}

static void
op_move(void *ctx, const char *host, const char *pool)
{
    struct recorded_command *recorded = record(ctx, COMMAND_MOVE, host);
    recorded->task = g_strdup(pool);
}

static void
op_reboot(void *ctx, const char *host, int64_t wave)
{
    record(ctx, COMMAND_REBOOT, host)->number = (uint32_t)wave;
}

static void
op_throttle(void *ctx, const struct throttle_command *command)
{
    struct recorded_command *recorded =
        record(ctx, COMMAND_THROTTLE, command->backend->entry.id);
    recorded->handle = command->handle;
    recorded->number = (uint32_t)command->percent;
    recorded->task = g_strdup(command->task);
}

static void
op_request_advice(void *ctx, const char *step, const char *const *backend_ids)
{
    char *ids = g_strjoinv(" ", (char **)backend_ids);
    record(ctx, COMMAND_REQUEST_ADVICE, ids)->task = g_strdup(step);
    g_free(ids);
}

static void
op_log_event(void *ctx, const char *event, const char *fields)
{
    struct fleet_fixture *fixture = ctx;
    g_free(fixture->last_event);
    fixture->last_event = g_strdup_printf("%s %s", event, fields);
}

static int64_t
now(void *ctx)
{
    return ((struct fleet_fixture *)ctx)->now_ms;
}

static int64_t
unix_now(void *ctx)
{
    return ((struct fleet_fixture *)ctx)->now_ms + 1000000000;
}

static void
add_queue(struct fleet_config *config, const char *name)
{
    struct pool_config *pool = g_new0(struct pool_config, 1);
    pool->name = g_strdup(name);
    pool->enforces_capacity = true;
    g_ptr_array_add(config->pools, pool);
    struct queue_config *queue = g_new0(struct queue_config, 1);
    *queue = (struct queue_config){
        .name = g_strdup(name),
        .host = g_strdup("h"),
        .prefix = g_strdup_printf("/%s/", name),
        .pool = g_strdup(name),
        .attempts = 3,
        .deadline_factor = 1.6,
        .objective_ms = 600,
    };
    g_ptr_array_add(config->queues, queue);
}

void
fixture_init(struct fleet_fixture *fixture, uint32_t term)
{
    fixture_init_at(fixture, term, START_MS);
}

void
fixture_init_at(struct fleet_fixture *fixture, uint32_t term, int64_t now_ms)
{
    *fixture =
        (struct fleet_fixture){.now_ms = now_ms, .incarnation_start_ms = 1};
    fixture->commands = g_ptr_array_new_with_free_func(recorded_command_free);
    fixture->config = fleet_config_create();
    add_queue(fixture->config, "p");
    add_queue(fixture->config, "q");
    struct pool_config *spare = g_new0(struct pool_config, 1);
    spare->name = g_strdup("s");
    spare->spare = true;
    g_ptr_array_add(fixture->config->pools, spare);
    struct team_config *team = g_new0(struct team_config, 1);
    team->name = g_strdup("t");
    g_ptr_array_add(fixture->config->teams, team);
    struct sched_timings timings = {
        .lease_max_ms = 10000,
        .stop_ms = STOP_MS,
        .cancel_ms = 3000,
        .move_ms = 1500,
        .reboot_ms = 2000,
        .command_gap_ms = 3000,
        .retention_ms = 1000000,
        .host_commands_per_s = 64,
    };
    struct sched_ops ops = {
        .start = op_start,
        .stop = op_stop,
        .throttle = op_throttle,
        .request_report = op_request_report,
        .move_host = op_move,
        .reboot_host = op_reboot,
        .request_advice = op_request_advice,
        .log_event = op_log_event,
        .ctx = fixture,
    };
    fixture->sched = scheduler_create(
        &timings, &ops, term, (struct ms_clock){.now = now, .ctx = fixture},
        (struct ms_clock){.now = unix_now, .ctx = fixture});
    scheduler_configure(fixture->sched, fixture->config);
    scheduler_set_leadership_valid(fixture->sched, true);
}

void
fixture_set_enforced(struct fleet_fixture *fixture, const char *pool,
                     bool enforced)
{
    for (guint i = 0; i < fixture->config->pools->len; i++) {
        struct pool_config *config =
            g_ptr_array_index(fixture->config->pools, i);
        if (strcmp(config->name, pool) == 0) {
            config->enforces_capacity = enforced;
        }
    }
}

void
fixture_set_queue_priorities(struct fleet_fixture *fixture, bool on)
{
    struct sched_policy policy = {.queue_priorities = on};
    scheduler_set_policy(fixture->sched, &policy);
}

void
fixture_add_queue(struct fleet_fixture *fixture, const char *name,
                  const char *pool, int64_t priority)
{
    struct queue_config *queue = g_new0(struct queue_config, 1);
    *queue = (struct queue_config){
        .name = g_strdup(name),
        .host = g_strdup("h"),
        .prefix = g_strdup_printf("/%s/", name),
        .pool = g_strdup(pool),
        .priority = priority,
        .attempts = 3,
        .deadline_factor = 1.6,
        .objective_ms = 600,
    };
    g_ptr_array_add(fixture->config->queues, queue);
    scheduler_configure(fixture->sched, fixture->config);
}

void
fixture_clear(struct fleet_fixture *fixture)
{
    scheduler_destroy(fixture->sched);
    fleet_config_destroy(fixture->config);
    g_ptr_array_unref(fixture->commands);
    g_free(fixture->last_event);
}

void
fixture_add_team(struct fleet_fixture *fixture, const char *name,
                 int64_t weight)
{
    struct team_config *team = g_new0(struct team_config, 1);
    team->name = g_strdup(name);
    team->weight = weight;
    g_ptr_array_add(fixture->config->teams, team);
}

static void
add_backend(struct fleet_fixture *fixture, const char *id, const char *pool,
            const char *host, int64_t cpu_milli, bool draining)
{
    static char *labels[] = {(char *)"a", (char *)"r1", NULL};
    struct backend_entry entry = {
        .id = (char *)id,
        .incarnation_start_ms = fixture->incarnation_start_ms,
        .pool = (char *)pool,
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
        .host = (char *)host,
        .labels = labels,
        .capacity = {.cpu_milli = cpu_milli, .mem_mb = 64000},
        .draining = draining,
    };
    scheduler_backend_updated(fixture->sched, &entry);
}

void
fixture_add_backend(struct fleet_fixture *fixture, const char *id,
                    const char *pool, const char *host)
{
    add_backend(fixture, id, pool, host, BACKEND_CPU_MILLI, false);
}

void
fixture_resize_backend(struct fleet_fixture *fixture, const char *id,
                       const char *pool, const char *host, int64_t cpu_milli)
{
    add_backend(fixture, id, pool, host, cpu_milli, false);
}

void
fixture_drain_backend(struct fleet_fixture *fixture, const char *id,
                      const char *pool, const char *host)
{
    add_backend(fixture, id, pool, host, BACKEND_CPU_MILLI, true);
}

void
fixture_add_hosts(struct fleet_fixture *fixture, const char *const *pools)
{
    struct host_info infos[HOSTS_MAX] = {0};
    char names[HOSTS_MAX][2][NAME_BYTES];
    size_t n_hosts = 0;
    for (; pools[n_hosts] != NULL && n_hosts < HOSTS_MAX; n_hosts++) {
        char *host = names[n_hosts][0];
        char *id = names[n_hosts][1];
        snprintf(host, NAME_BYTES, "m%zu", n_hosts);
        snprintf(id, NAME_BYTES, "b%zu", n_hosts);
        fixture_add_backend(fixture, id, pools[n_hosts], host);
        infos[n_hosts] = (struct host_info){.host = host,
                                            .pool = pools[n_hosts],
                                            .backend_id = id,
                                            .data_centre = "dc",
                                            .up = true};
    }
    scheduler_hosts_read(fixture->sched, infos, n_hosts, fixture->now_ms);
}

static void
store_all(struct fleet_fixture *fixture)
{
    struct store_batch *batch;
    while ((batch = scheduler_take_batch(fixture->sched, BATCH)) != NULL) {
        scheduler_batch_stored(fixture->sched, batch, true, 1);
    }
    uint32_t term = scheduler_term_wanted(fixture->sched);
    if (term != 0 && !fixture->withhold_run_numbers) {
        scheduler_term_reserved(fixture->sched, term);
    }
}

void
fixture_tick(struct fleet_fixture *fixture, int64_t now_ms)
{
    fixture->now_ms = now_ms;
    scheduler_tick(fixture->sched);
    store_all(fixture);
}

void
fixture_answer(struct fleet_fixture *fixture, const char *id,
               struct run_report report)
{
    const struct backend *backend = scheduler_find_backend(fixture->sched, id);
    if (backend != NULL) {
        report.request = backend->report_request;
    }
    scheduler_on_report(fixture->sched, id, &report);
}

void
fixture_report(struct fleet_fixture *fixture, const char *id,
               struct reported_run *running, size_t n_running,
               struct run_completion *completions, size_t n_completions)
{
    fixture_answer(fixture, id,
                   (struct run_report){
                       .outcome = REPORT_READ,
                       .incarnation_start_ms = fixture->incarnation_start_ms,
                       .clock_ms = fixture->now_ms + FIXTURE_CLOCK_AHEAD_MS,
                       .running = running,
                       .n_running = n_running,
                       .completions = completions,
                       .n_completions = n_completions,
                   });
}

void
fixture_reconcile(struct fleet_fixture *fixture)
{
    fixture_tick(fixture, fixture->now_ms + 10);
    GPtrArray *ids = scheduler_backend_ids(fixture->sched);
    for (guint i = 0; i < ids->len; i++) {
        fixture_report(fixture, g_ptr_array_index(ids, i), NULL, 0, NULL, 0);
    }
    g_ptr_array_unref(ids);
}

struct job *
fixture_create_job(struct fleet_fixture *fixture, const char *id,
                   const char *pool, const char *steps)
{
    char *error = NULL;
    char *body = g_strdup_printf("{\"spec\":\"x\",\"steps\":%s}", steps);
    struct job *job = decode_job(body, strlen(body), &error);
    g_free(body);
    g_strlcpy(job->id, id, sizeof(job->id));
    job->queue = g_strdup(pool);
    job->pool = g_strdup(pool);
    job->team = g_strdup("t");
    job->attempts = 3;
    job->accepted_unix_ms = unix_now(fixture);
    return job;
}

struct job *
fixture_create_queue_job(struct fleet_fixture *fixture, const char *id,
                         const char *queue, const char *pool,
                         const char *steps)
{
    struct job *job = fixture_create_job(fixture, id, pool, steps);
    g_free(job->queue);
    job->queue = g_strdup(queue);
    return job;
}

struct job *
fixture_add_job(struct fleet_fixture *fixture, const char *id,
                const char *pool, const char *steps)
{
    struct job *job = fixture_create_job(fixture, id, pool, steps);
    scheduler_add_job(fixture->sched, job);
    job_unref(job);
    return job;
}

uint32_t
fixture_count(const struct fleet_fixture *fixture, enum command_kind kind,
              const char *target)
{
    uint32_t count = 0;
    for (guint i = 0; i < fixture->commands->len; i++) {
        const struct recorded_command *recorded =
            g_ptr_array_index(fixture->commands, i);
        if (recorded->kind == kind &&
            (target == NULL || strcmp(recorded->target, target) == 0)) {
            count++;
        }
    }
    return count;
}

const struct recorded_command *
fixture_last(const struct fleet_fixture *fixture, enum command_kind kind)
{
    const struct recorded_command *last = NULL;
    for (guint i = 0; i < fixture->commands->len; i++) {
        const struct recorded_command *recorded =
            g_ptr_array_index(fixture->commands, i);
        if (recorded->kind == kind) {
            last = recorded;
        }
    }
    return last;
}

void
fixture_answer_stop(struct fleet_fixture *fixture, bool acked)
{
    const struct recorded_command *stop = fixture_last(fixture, COMMAND_STOP);
    scheduler_on_stop(fixture->sched, stop->handle, stop->attempt, acked);
}

void
fixture_accept_starts(struct fleet_fixture *fixture)
{
    for (guint i = 0; i < fixture->commands->len; i++) {
        const struct recorded_command *recorded =
            g_ptr_array_index(fixture->commands, i);
        if (recorded->kind == COMMAND_START) {
            scheduler_on_start(fixture->sched, recorded->handle, START_DONE,
                               0);
        }
    }
}
