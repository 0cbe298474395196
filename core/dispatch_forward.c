/* Forwards waiting tasks to gateways that have free permits of their team. */
#include "dispatch_state.h"

enum {
    LANE_LOOK_AHEAD_TASKS = 8,
};

static uint32_t
free_permits(const struct peer *peer, const struct team *team)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(peer->free_permits, (void *)team));
}

/* The peer that reports the most free permits of the team, or NULL. */
static struct peer *
peer_with_permits(struct dispatch *dispatch, const struct team *team)
{
    struct peer *best = NULL;
    uint32_t most = 0;
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->peers);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct peer *peer = entry;
        if (free_permits(peer, team) > most) {
            most = free_permits(peer, team);
            best = peer;
        }
    }
    return best;
}

static bool
task_may_forward(const struct task *task)
{
    return !task->forwarded && task->forwards < TASK_FORWARDS_MAX;
}

/* Tasks that were forwarded to this gateway must not be forwarded again and
 * may precede others in the lane. */
static struct task *
first_in_lane(const struct lane *lane)
{
    const GList *link = lane->tasks.head;
    for (int i = 0; i < LANE_LOOK_AHEAD_TASKS && link != NULL; i++) {
        if (task_may_forward(link->data)) {
            return link->data;
        }
        link = link->next;
    }
    return NULL;
}

static struct task *
first_in_lanes(const GQueue *lanes)
{
    for (const GList *link = lanes->head; link != NULL; link = link->next) {
        struct task *task = first_in_lane(link->data);
        if (task != NULL) {
            return task;
        }
    }
    return NULL;
}

static struct task *
team_task_to_forward(const struct team *team)
{
    for (int urgent = 1; urgent >= 0; urgent--) {
        for (guint i = 0; i < team->pool_teams->len; i++) {
            const struct pool_team *pool_team =
                g_ptr_array_index(team->pool_teams, i);
            struct task *task = first_in_lanes(&pool_team->lanes[urgent]);
            if (task != NULL) {
                return task;
            }
        }
    }
    return NULL;
}

static void
forward(struct dispatch *dispatch, struct task *task, struct peer *peer,
        struct dispatch_action *action)
{
    struct team *team = task->lane->pool_team->team;
    uint32_t left = free_permits(peer, team) - 1;
    team->peers_free--;
    g_hash_table_insert(peer->free_permits, team, GUINT_TO_POINTER(left));
    lane_remove(dispatch, task);
    deadline_heap_remove(dispatch->deadlines, &task->deadline);
    task->state = TASK_FORWARDED;
    task->forwards++;
    g_free(dispatch->action_peer);
    dispatch->action_peer = g_strdup(peer->name);
    *action = (struct dispatch_action){
        .type = DISPATCH_FORWARD,
        .task = task->id,
        .peer = dispatch->action_peer,
    };
}

bool
next_forward(struct dispatch *dispatch, struct dispatch_action *action)
{
    GList *link;
    while ((link = dispatch->forward_teams.head) != NULL) {
        struct team *team = link->data;
        struct peer *peer = peer_with_permits(dispatch, team);
        struct task *task = peer != NULL ? team_task_to_forward(team) : NULL;
        if (task != NULL) {
            forward(dispatch, task, peer, action);
            return true;
        }
        /* team_update() adds the team again with its next task or report. */
        team->may_forward = false;
        g_queue_unlink(&dispatch->forward_teams, link);
    }
    return false;
}

static void
handle_lost_forward(struct dispatch *dispatch, struct task *task)
{
    task->may_have_run = true;
    if (task->idempotent && !task->cancelled) {
        task_requeue(dispatch, task);
    }
    else {
        task_refuse(dispatch, task, REASON_BACKEND_LOST);
    }
}

bool
dispatch_forward_ended(struct dispatch *dispatch, uint64_t task_id,
                       enum attempt_result result, int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct task *task = g_hash_table_lookup(dispatch->tasks, &task_id);
    if (task == NULL || task->state != TASK_FORWARDED) {
        return false;
    }
    switch (result) {
    case ATTEMPT_DONE:
    case ATTEMPT_FAILED:
        task_end(dispatch, task);
        return true;
    case ATTEMPT_LOST:
        handle_lost_forward(dispatch, task);
        return false;
    case ATTEMPT_STOPPED:
        task->may_have_run = true;
        task_refuse(dispatch, task, REASON_CANCELLED);
        return false;
    case ATTEMPT_REFUSED:
    case ATTEMPT_NOT_SENT:
        task_requeue(dispatch, task);
        return false;
    }
    return false;
}
