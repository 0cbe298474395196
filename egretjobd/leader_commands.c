/* Sends the scheduler's commands to backend servers and the host API, and
 * passes the answers back. */
#include "leader_state.h"

#include <stdio.h>
#include <string.h>

#include "common/event_log.h"
#include "common/text.h"
#include "egretjobd/leadership.h"

enum {
    TASK_NAME_BYTES = JOB_ID_CHARS + 48,
};

static void
on_start(void *ctx, uint64_t handle, enum start_answer answer,
         int64_t clock_ms)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_start(leader->sched, handle, answer, clock_ms);
    if (answer != START_DONE || scheduler_start_waits(leader->sched)) {
        leader_schedule_tick(leader);
    }
}

static int64_t
patience_ms(void *ctx)
{
    const struct leader *leader = ctx;
    return scheduler_patience_ms(leader->sched);
}

static bool
may_start(void *ctx, uint64_t handle)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    return scheduler_may_start(leader->sched, handle);
}

static void
on_start_sent(void *ctx, uint64_t handle, bool known)
{
    struct leader *leader = ctx;
    scheduler_start_sent(leader->sched, handle, known);
}

static void
on_fenced(void *ctx)
{
    struct leader *leader = ctx;
    scheduler_on_fenced(leader->sched);
    leader_schedule_tick(leader);
}

static void
on_stop(void *ctx, uint64_t handle, uint32_t attempt, bool acked)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_stop(leader->sched, handle, attempt, acked);
    leader_schedule_tick(leader);
}

static void
on_throttle(void *ctx, uint64_t handle, int32_t percent, bool acked)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_throttle(leader->sched, handle, percent, acked);
}

static void
on_report(void *ctx, const char *backend_id, const struct run_report *report)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    scheduler_on_report(leader->sched, backend_id, report);
    leader_schedule_tick(leader);
}

static struct backend_client *
client_of(struct leader *leader, const struct backend *backend)
{
    struct backend_client *client =
        g_hash_table_lookup(leader->backend_clients, backend->entry.id);
    if (client != NULL &&
        strcmp(backend_client_address(client), backend->entry.address) == 0) {
        return client;
    }
    struct backend_callbacks callbacks = {
        .patience_ms = patience_ms,
        .may_start = may_start,
        .on_fenced = on_fenced,
        .on_start_sent = on_start_sent,
        .on_start = on_start,
        .on_stop = on_stop,
        .on_throttle = on_throttle,
        .on_report = on_report,
        .ctx = leader,
    };
    client = backend_client_create(leader->node->base, backend->entry.id,
                                   backend->entry.address, &callbacks);
    g_hash_table_replace(leader->backend_clients, g_strdup(backend->entry.id),
                         client);
    return client;
}

/* Closes connections to backend servers that the scheduler no longer
 * tracks. */
void
leader_drop_unused_clients(struct leader *leader)
{
    GHashTableIter iter;
    void *key;
    g_hash_table_iter_init(&iter, leader->backend_clients);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (scheduler_find_backend(leader->sched, key) == NULL) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
op_start(void *ctx, const struct start_command *command)
{
    struct leader *leader = ctx;
    const struct run *run = command->run;
    char task[TASK_NAME_BYTES];
    snprintf(task, sizeof(task), "%s.%u.%u.%u", run->job->id, run->occurrence,
             run->step, run->index);
    event_log("task_start",
              "\"task\":\"%s\",\"run\":%u,\"backend\":\"%s\","
              "\"until_ms\":%" G_GINT64_FORMAT,
              task, run->number, command->backend->entry.id,
              command->until_ms);
    struct start_call call = {
        .handle = command->handle,
        .task = task,
        .number = run->number,
        .spec = run->job->text,
        .until_ms = command->until_ms,
        .token = backend_fencing_token(command->backend, leader->token),
        .saved = run_task(run)->saved,
        .ticket = command->ticket,
    };
    backend_client_start(client_of(leader, command->backend), &call);
}

static void
op_stop(void *ctx, const struct stop_command *command)
{
    struct leader *leader = ctx;
    event_log("task_stop", "\"task\":%s,\"run\":%u,\"backend\":\"%s\"",
              text_quote(command->task), command->number,
              command->backend->entry.id);
    backend_client_stop(
        client_of(leader, command->backend), command,
        backend_fencing_token(command->backend, leader->token));
}

static void
op_throttle(void *ctx, const struct throttle_command *command)
{
    struct leader *leader = ctx;
    backend_client_throttle(
        client_of(leader, command->backend), command,
        backend_fencing_token(command->backend, leader->token));
}

static void
op_request_report(void *ctx, struct backend *backend,
                  const struct report_request *request, int64_t until_ms,
                  int64_t acked_completion, int64_t wait_ms)
{
    struct leader *leader = ctx;
    backend_client_request_report(
        client_of(leader, backend), request, until_ms,
        backend_fencing_token(backend, leader->token), acked_completion,
        wait_ms);
}

static void
op_store(void *ctx)
{
    leader_schedule_tick(ctx);
}

static void
op_move_host(void *ctx, const char *host, const char *pool)
{
    struct leader *leader = ctx;
    event_log("host_move", "\"host\":%s,\"pool\":%s", text_quote(host),
              text_quote(pool));
    host_commands_add(leader->host_commands, host, pool, 0);
}

static void
op_reboot_host(void *ctx, const char *host, int64_t wave)
{
    struct leader *leader = ctx;
    event_log("host_reboot", "\"host\":%s,\"wave\":%" G_GINT64_FORMAT,
              text_quote(host), wave);
    host_commands_add(leader->host_commands, host, NULL, wave);
}

static void
op_request_advice(void *ctx, const char *step, const char *const *backend_ids)
{
    struct leader *leader = ctx;
    advice_api_request(leader->advice, step, backend_ids);
}

static void
op_log_event(void *ctx, const char *event, const char *fields)
{
    (void)ctx;
    event_log(event, "%s", fields);
}

struct sched_ops
leader_ops(struct leader *leader)
{
    return (struct sched_ops){
        .start = op_start,
        .stop = op_stop,
        .throttle = op_throttle,
        .request_report = op_request_report,
        .store = op_store,
        .move_host = op_move_host,
        .reboot_host = op_reboot_host,
        .request_advice = leader->advice == NULL ? NULL : op_request_advice,
        .log_event = op_log_event,
        .ctx = leader,
    };
}
