/* Life cycle of queued tasks: creation, refusal, requeueing, end. */
#include "dispatch_state.h"

struct task *
task_create(struct dispatch *dispatch, const struct dispatch_task *submitted,
            struct lane *lane)
{
    struct task *task = g_new0(struct task, 1);
    task->id = submitted->id;
    task->lane = lane;
    task->key_id = g_strdup(submitted->key_id);
    task->key_hash_hex = g_strdup(submitted->key_hash_hex);
    task->idempotent = submitted->idempotent;
    task->forwarded = submitted->forwarded;
    task->submitted_ms = dispatch->now_ms;
    task->deadline.owner = task;
    task->link.data = task;
    g_hash_table_insert(dispatch->tasks, &task->id, task);
    lane_push(dispatch, lane, task, false);
    deadline_heap_set(dispatch->deadlines, &task->deadline,
                      dispatch->now_ms + lane->queue->start_deadline_ms);
    return task;
}

void
task_destroy(void *data)
{
    struct task *task = data;
    g_free(task->key_id);
    g_free(task->key_hash_hex);
    g_free(task->peer);
    g_free(task);
}

static void
task_unlink(struct dispatch *dispatch, struct task *task)
{
    if (task->state == TASK_QUEUED) {
        lane_remove(dispatch, task);
    }
    else if (task->state == TASK_REFUSED) {
        g_queue_unlink(&dispatch->refused, &task->link);
    }
    deadline_heap_remove(dispatch->deadlines, &task->deadline);
}

void
task_end(struct dispatch *dispatch, struct task *task)
{
    task_unlink(dispatch, task);
    g_hash_table_remove(dispatch->tasks, &task->id);
}

void
task_refuse(struct dispatch *dispatch, struct task *task, enum reason reason)
{
    task_unlink(dispatch, task);
    task->state = TASK_REFUSED;
    task->reason = reason;
    g_queue_push_tail_link(&dispatch->refused, &task->link);
}

void
task_requeue(struct dispatch *dispatch, struct task *task)
{
    if (task->cancelled) {
        task_refuse(dispatch, task, REASON_CANCELLED);
        return;
    }
    enum reason reason = task_allowed(dispatch, task);
    if (reason != REASON_NONE) {
        task_refuse(dispatch, task, reason);
        return;
    }
    task->state = TASK_QUEUED;
    task->attempt = 0;
    lane_push(dispatch, task->lane, task, true);
    deadline_heap_set(dispatch->deadlines, &task->deadline,
                      task->deadline.at_ms);
}

bool
task_avoids(const struct task *task, const struct host *host)
{
    for (uint32_t i = 0; i < task->n_failed; i++) {
        if (task->failed_on[i] == host->serial) {
            return true;
        }
    }
    return task->refused_by == host->serial;
}
