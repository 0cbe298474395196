/* Queues of waiting tasks: round robin among the teams that may start, and
 * among the lanes of each team. */
#include "dispatch_state.h"

enum {
    POOL_RETRY_MS = 25,
};

static void
pool_team_ready(struct pool_team *pool_team, unsigned urgent, bool ready)
{
    if (pool_team->ready[urgent] == ready) {
        return;
    }
    GQueue *queue = &pool_team->pool->ready[urgent];
    pool_team->ready[urgent] = ready;
    if (ready) {
        g_queue_push_tail_link(queue, &pool_team->ready_link[urgent]);
    }
    else {
        g_queue_unlink(queue, &pool_team->ready_link[urgent]);
    }
}

/* Urgent tasks start before others regardless of the shares. When only urgent
 * tasks run in the pool, the shares apply among the teams' urgent tasks. */
static bool
urgent_by_share(const struct pool *pool)
{
    return pool->running == pool->urgent_running;
}

void
pool_team_update(struct dispatch *dispatch, struct pool_team *pool_team)
{
    struct team *team = pool_team->team;
    bool permitted = team->running < team->permits;
    bool other = permitted && pool_team->lanes[0].length > 0;
    bool urgent = permitted && pool_team->lanes[1].length > 0;
    bool by_share = urgent && urgent_by_share(pool_team->pool);
    bool due = (other || by_share) && pool_team_may_start(dispatch, pool_team);
    pool_team_ready(pool_team, 1, urgent && (due || !by_share));
    pool_team_ready(pool_team, 0, other && due);
    if (pool_team->ready[0] || pool_team->ready[1]) {
        pool_wake(dispatch, pool_team->pool);
    }
}

static void
team_set_forwarding(struct dispatch *dispatch, struct team *team,
                    bool forwards)
{
    if (team->may_forward == forwards) {
        return;
    }
    team->may_forward = forwards;
    if (forwards) {
        g_queue_push_tail_link(&dispatch->forward_teams, &team->forward_link);
    }
    else {
        g_queue_unlink(&dispatch->forward_teams, &team->forward_link);
    }
}

void
team_update(struct dispatch *dispatch, struct team *team)
{
    bool permitted = team->running < team->permits;
    team_set_forwarding(dispatch, team,
                        !permitted && team->queued > 0 &&
                            team->peers_free > 0);
    if (team->permitted == permitted) {
        return;
    }
    team->permitted = permitted;
    for (guint i = 0; i < team->pool_teams->len; i++) {
        pool_team_update(dispatch, g_ptr_array_index(team->pool_teams, i));
    }
}

void
pool_wake(struct dispatch *dispatch, struct pool *pool)
{
    if (!pool->active) {
        pool->active = true;
        g_queue_push_tail_link(&dispatch->active_pools, &pool->active_link);
    }
}

/* Tasks may start, but no host is known to have a free slot: tries again
 * after a pause. */
void
pool_wake_later(struct dispatch *dispatch, struct pool *pool)
{
    deadline_heap_set(dispatch->wakes, &pool->wake,
                      dispatch->now_ms + POOL_RETRY_MS);
}

void
pool_sleep(struct dispatch *dispatch, struct pool *pool)
{
    if (pool->active) {
        pool->active = false;
        g_queue_unlink(&dispatch->active_pools, &pool->active_link);
    }
}

void
pool_team_destroy(void *data)
{
    struct pool_team *pool_team = data;
    g_free(pool_team->peers);
    g_free(pool_team);
}

struct pool_team *
pool_team_get(struct pool *pool, struct team *team)
{
    if (team->index >= pool->by_team->len) {
        g_ptr_array_set_size(pool->by_team, (gint)team->index + 1);
    }
    struct pool_team *pool_team =
        g_ptr_array_index(pool->by_team, team->index);
    if (pool_team != NULL) {
        return pool_team;
    }
    pool_team = g_new0(struct pool_team, 1);
    pool_team->pool = pool;
    pool_team->team = team;
    pool_team->ready_link[0].data = pool_team;
    pool_team->ready_link[1].data = pool_team;
    pool_team->unblock.owner = pool_team;
    g_ptr_array_add(team->pool_teams, pool_team);
    g_ptr_array_add(pool->pool_teams, pool_team);
    g_ptr_array_index(pool->by_team, team->index) = pool_team;
    return pool_team;
}

/* Includes the team in the pool's plans until it has no more work. */
void
pool_team_activate(struct pool_team *pool_team)
{
    if (!pool_team->in_use) {
        pool_team->in_use = true;
        g_ptr_array_add(pool_team->pool->in_use, pool_team);
    }
}

struct lane *
lane_get(struct queue *queue, struct team *team)
{
    struct lane *lane = g_hash_table_lookup(queue->lanes, team);
    if (lane == NULL) {
        lane = g_new0(struct lane, 1);
        lane->queue = queue;
        lane->pool_team = pool_team_get(queue->pool, team);
        lane->link.data = lane;
        g_hash_table_insert(queue->lanes, team, lane);
    }
    return lane;
}

static void
lane_count(struct lane *lane, int change)
{
    lane->queue->queued += change;
    lane->pool_team->queued += change;
    lane->pool_team->pool->queued += change;
    lane->pool_team->pool->urgent_queued += lane->queue->urgent ? change : 0;
    lane->pool_team->team->queued += change;
}

void
lane_push(struct dispatch *dispatch, struct lane *lane, struct task *task,
          bool first)
{
    struct pool_team *pool_team = lane->pool_team;
    if (lane->tasks.length == 0) {
        g_queue_push_tail_link(&pool_team->lanes[lane->queue->urgent],
                               &lane->link);
    }
    if (first) {
        g_queue_push_head_link(&lane->tasks, &task->link);
    }
    else {
        g_queue_push_tail_link(&lane->tasks, &task->link);
    }
    lane_count(lane, 1);
    pool_team_activate(pool_team);
    const struct pool *pool = pool_team->pool;
    if (pool->plan.index == 0) {
        pool_plan_shares_soon(dispatch, pool_team->pool);
    }
    else if (pool->contended && pool_team->due_slots <= 0) {
        pool_team_join(dispatch, pool_team);
    }
    pool_team_update(dispatch, pool_team);
    team_update(dispatch, pool_team->team);
}

void
lane_remove(struct dispatch *dispatch, struct task *task)
{
    struct lane *lane = task->lane;
    struct pool_team *pool_team = lane->pool_team;
    g_queue_unlink(&lane->tasks, &task->link);
    if (lane->tasks.length == 0) {
        g_queue_unlink(&pool_team->lanes[lane->queue->urgent], &lane->link);
    }
    lane_count(lane, -1);
    pool_team_update(dispatch, pool_team);
    team_update(dispatch, pool_team->team);
}

void
lane_move(struct dispatch *dispatch, struct lane *lane, struct pool *pool,
          bool urgent)
{
    struct pool_team *from = lane->pool_team;
    struct pool_team *to = pool_team_get(pool, from->team);
    uint32_t n = lane->tasks.length;
    if (n > 0) {
        g_queue_unlink(&from->lanes[lane->queue->urgent], &lane->link);
        g_queue_push_tail_link(&to->lanes[urgent], &lane->link);
    }
    from->queued -= n;
    from->pool->queued -= n;
    from->pool->urgent_queued -= lane->queue->urgent ? n : 0;
    to->queued += n;
    to->pool->queued += n;
    to->pool->urgent_queued += urgent ? n : 0;
    lane->pool_team = to;
    pool_team_activate(to);
    pool_team_update(dispatch, from);
    pool_team_update(dispatch, to);
}

static struct lane *
next_lane(struct pool *pool, unsigned urgent)
{
    GList *link = pool->ready[urgent].head;
    if (link == NULL) {
        return NULL;
    }
    g_queue_unlink(&pool->ready[urgent], link);
    g_queue_push_tail_link(&pool->ready[urgent], link);
    struct pool_team *pool_team = link->data;
    GList *lane = pool_team->lanes[urgent].head;
    g_queue_unlink(&pool_team->lanes[urgent], lane);
    g_queue_push_tail_link(&pool_team->lanes[urgent], lane);
    return lane->data;
}

struct lane *
pool_next_lane(struct dispatch *dispatch, struct pool *pool)
{
    struct lane *lane = next_lane(pool, 1);
    if (lane != NULL || !pool_has_normal_capacity(pool)) {
        return lane;
    }
    return next_lane(pool, 0);
}
