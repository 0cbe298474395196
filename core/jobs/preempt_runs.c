/*
 * Preemption of runs by waiting tasks of a higher priority: gathers the facts,
 * and decides when it is due. preemption.c chooses the runs, and
 * preempt_hold.c keeps their capacity for the task.
 *
 * All of it is state of the leader alone: the next one finds what is left of
 * the runs in run reports, and decides again.
 */
#include "core/jobs/preemption.h"

#include "core/jobs/scheduler.h"

#include "placer.h"

enum {
    /* Time in which a pool is searched at most PREEMPT_SEARCHES_MAX times,
     * and once for each job. About half the time that a stop takes. */
    PREEMPT_ROUND_MS = 200,
    /* Tasks for which one search may preempt runs; bounds its cost. */
    TASKS_PER_SEARCH_MAX = 32,
    /* Backend servers that a search remembers. */
    CANDIDATES_MAX = 8,
    /* Capacity is kept for at most this part of a pool at a time, but for at
     * least one task. A pool is turned over in four times the time that a
     * stop takes, and three quarters of it always go on. */
    POOL_PART = 4,
    /* Moves of a host that fit into the wait of a task that waits for one: the
     * move, and as long for the plan before and the first report after it. */
    MOVES_PER_WAIT = 2,
    /* Beside the time that a stop takes: for one whose first answer is lost,
     * for a late report, and for a start that is refused once. */
    HOLD_MARGIN_MS = 2000,
    /* From then on a stop without an answer counts as ineffective. */
    STOPS_EXPECTED_MAX = 2,
};

/** struct preempt_candidate - runs that could be stopped on @backend */
struct preempt_candidate {
    struct backend *backend;
    struct preemption_choice choice;
};

/**
 * struct search - a search of a pool for runs to preempt
 * @best: those that lose the least work, in order
 * @room: tasks for which there is room in time without a stop
 * @room_wanted: tasks for which there has to be for nothing to be stopped
 * @lower: some run may be stopped
 */
struct search {
    struct placer *placer;
    const struct placement_request *placement;
    struct preemption_request request;
    struct preempt_candidate best[CANDIDATES_MAX];
    uint32_t n_best;
    uint32_t room;
    uint32_t room_wanted;
    int64_t capacity_milli;
    bool lower;
};

static bool
round_over(const struct placer *placer)
{
    const struct preempt_round *round = &placer->pool->preempt_round;
    return round->began_ms == 0 ||
           placer->now_ms - round->began_ms >= PREEMPT_ROUND_MS;
}

/* Whether the pool may be searched for @job now. */
static bool
may_search(const struct placer *placer, const struct job *job)
{
    const struct preempt_round *round = &placer->pool->preempt_round;
    if (job->remaining.service) {
        return false;
    }
    if (round_over(placer)) {
        return true;
    }
    if (round->n_searched >= PREEMPT_SEARCHES_MAX ||
        (round->none && job_priority(job) >= round->none_below)) {
        return false;
    }
    for (uint32_t i = 0; i < round->n_searched; i++) {
        if (round->searched[i] == job) {
            return false;
        }
    }
    return true;
}

bool
placer_has_priority(const struct placer *placer, const struct job *job)
{
    return sched_job_held_for(placer->sched, job) || may_search(placer, job);
}

/* Expected end of a run that is being stopped. */
static int64_t
stop_ends_ms(const struct scheduler *sched, const struct run *run)
{
    int64_t stop_ms = sched_stop_visible_after_ms(sched);
    if (run->stop_acked_ms != 0) {
        int64_t left_ms = run->stop_acked_ms + stop_ms - sched_now(sched);
        return left_ms < -HOLD_MARGIN_MS ? PREEMPTION_NEVER_MS
                                         : MAX(left_ms, 0);
    }
    return run->stop_count <= STOPS_EXPECTED_MAX ? stop_ms
                                                 : PREEMPTION_NEVER_MS;
}

static bool
may_stop(const struct scheduler *sched, const struct run *run)
{
    const struct job_step *step = run_step(run);
    const struct job_task *task = run_task(run);
    return run->state == RUN_WORKING && !run->start_in_flight &&
           run->confirmed_ms != 0 && !run->other_clock &&
           run->incarnation == run->backend->incarnation &&
           !step->long_running && !step->gang && !run->isolated &&
           !crash_isolated(&task->crash) && !task->done &&
           task->preemptions < PREEMPTIONS_PER_TASK_MAX &&
           run->job->state == JOB_ACTIVE && sched_run_may_stop(run) &&
           !sched_inherited_runs_open(sched, run->backend->pool, run->job);
}

static struct preemption_run
run_facts(const struct scheduler *sched, const struct run *run,
          int64_t priority)
{
    const struct job_step *step = run_step(run);
    struct preemption_run facts = {
        .need = job_step_backend_need(step),
        .priority = job_priority(run->job),
        .ends_ms = PREEMPTION_NEVER_MS,
    };
    if (run->state == RUN_STOPPING) {
        facts.ends_ms = stop_ends_ms(sched, run);
        return facts;
    }
    if (step->long_running) {
        return facts;
    }
    int64_t now_ms = sched_now(sched);
    struct run_progress progress = {
        .worked_ms = now_ms - run->started_ms,
        .adopted = run->adopted,
        .estimate_ms = step->estimate_ms,
        .percent = run->percent,
        .saved_ago_ms = -1,
    };
    if (step->checkpointing && run->saved_seen_ms >= 0) {
        progress.saved_ago_ms =
            run->age_ms - run->saved_seen_ms + now_ms - run->confirmed_ms;
    }
    facts.ends_ms = preemption_remaining_ms(&progress);
    if (facts.priority > priority && may_stop(sched, run)) {
        facts.may_stop = true;
        facts.lost_millicore_ms =
            preemption_lost_ms(&progress) * step->need.cpu_milli;
    }
    return facts;
}

/* Fills @facts with the runs of @backend, at their positions; returns their
 * number. */
static uint32_t
backend_facts(const struct search *search, const struct backend *backend,
              struct preemption_run *facts)
{
    uint32_t n_runs =
        MIN(backend->runs->len, (guint)PREEMPTION_CONSIDERED_MAX);
    for (uint32_t i = 0; i < n_runs; i++) {
        facts[i] = run_facts(search->placer->sched,
                             g_ptr_array_index(backend->runs, i),
                             search->request.priority);
    }
    return n_runs;
}

/* Whether the task may run on @backend once there is room. */
static bool
may_make_room_on(const struct search *search, const struct backend *backend)
{
    const struct placer *placer = search->placer;
    struct resources need = search->request.need;
    return resources_fit(&backend->entry.capacity, &need) &&
           sched_backend_usable(placer->sched, backend) &&
           !backend->unreconciled && backend->unknown_strays == 0 &&
           backend->suspect_until_ms <= placer->now_ms &&
           backend->isolated_runs == 0 &&
           backend->isolation_until_ms <= placer->now_ms &&
           !sched_backend_reserved(placer->sched, backend) &&
           placer_reservation_allows(placer, backend, search->placement) &&
           placer_suitable(placer, backend, search->placement);
}

static void
add_candidate(struct search *search, struct backend *backend,
              const struct preemption_choice *choice)
{
    uint32_t at = search->n_best;
    if (at == CANDIDATES_MAX) {
        at--;
        if (search->best[at].choice.lost_millicore_ms <=
            choice->lost_millicore_ms) {
            return;
        }
    }
    else {
        search->n_best++;
    }
    for (; at > 0 && search->best[at - 1].choice.lost_millicore_ms >
                         choice->lost_millicore_ms;
         at--) {
        search->best[at] = search->best[at - 1];
    }
    search->best[at] = (struct preempt_candidate){backend, *choice};
}

/* What is free beside what is kept for anyone. */
static struct resources
unheld_room(const struct backend *backend)
{
    struct resources room = backend->entry.capacity;
    resources_add(&room, &backend->used, -1);
    resources_add(&room, &backend->held, -1);
    return room;
}

static void
search_backend(struct search *search, struct backend *backend)
{
    search->capacity_milli += backend->entry.capacity.cpu_milli;
    if (!may_make_room_on(search, backend)) {
        return;
    }
    struct preemption_run facts[PREEMPTION_CONSIDERED_MAX];
    uint32_t n_runs = backend_facts(search, backend, facts);
    struct resources room = unheld_room(backend);
    search->room +=
        preemption_room_in_time(&search->request, &room, facts, n_runs);
    for (uint32_t i = 0; i < n_runs && !search->lower; i++) {
        search->lower = facts[i].may_stop;
    }
    struct preemption_choice choice =
        preemption_choose(&search->request, &room, facts, n_runs);
    if (choice.found) {
        add_candidate(search, backend, &choice);
    }
}

/* Tasks for which hosts that are moved to the pool, or could be, have room in
 * time. */
static uint32_t
room_on_new_hosts(const struct search *search)
{
    const struct scheduler *sched = search->placer->sched;
    const struct pool_load *pool = search->placer->pool;
    int64_t hosts = pool->incoming_hosts + sched->spare_hosts;
    if (hosts <= 0 ||
        search->request.wait_ms < MOVES_PER_WAIT * sched->timings.move_ms) {
        return 0;
    }
    return (uint32_t)hosts * preemption_room_in_time(&search->request,
                                                     &pool->largest_host, NULL,
                                                     0);
}

/* Ends as soon as there is room for all without a stop. */
static void
search_pool(struct search *search)
{
    const struct pool_index *index = &search->placer->pool->index;
    for (int slot = 0; slot < POOL_SLOT_COUNT; slot++) {
        const GPtrArray *backends = index->slots[slot];
        for (guint i = 0;
             i < backends->len && search->room < search->room_wanted; i++) {
            search_backend(search, g_ptr_array_index(backends, i));
        }
    }
}

static void
preempt_run(const struct search *search, struct run *run,
            int64_t lost_millicore_ms)
{
    struct scheduler *sched = search->placer->sched;
    run_task(run)->preemptions++;
    sched->stats.preempted++;
    sched_log_event(
        sched, "run_preempted",
        "\"task\":\"%s.%u.%u.%u\",\"run\":%u,\"backend\":\"%s\","
        "\"priority\":%" G_GINT64_FORMAT ",\"by\":\"%s.%u.%u\","
        "\"by_priority\":%" G_GINT64_FORMAT
        ",\"lost_core_ms\":%" G_GINT64_FORMAT ",\"preemptions\":%u",
        run->job->id, run->occurrence, run->step, run->index, run->number,
        run->backend->entry.id, job_priority(run->job),
        search->placement->job->id, search->placement->occurrence,
        search->placement->step_index, search->request.priority,
        lost_millicore_ms / 1000, run_task(run)->preemptions);
    sched_run_stop(sched, run);
}

/* Keeps the capacity for the step, and stops the runs. */
static void
preempt_on(const struct search *search, struct backend *backend,
           const struct preemption_choice *choice)
{
    struct scheduler *sched = search->placer->sched;
    const struct placement_request *placement = search->placement;
    sched_hold_add(sched,
                   &(struct hold){
                       .backend = backend,
                       .job = scheduler_find_job(sched, placement->job->id),
                       .occurrence = placement->occurrence,
                       .step = placement->step_index,
                       .need = search->request.need,
                       .until_ms = search->placer->now_ms +
                                   search->request.stop_ms + HOLD_MARGIN_MS,
                   });
    sched->stats.preemptions++;
    /* The positions hold until a run is removed, which a stop doesn't do. */
    struct preemption_run facts[PREEMPTION_CONSIDERED_MAX];
    backend_facts(search, backend, facts);
    for (uint32_t i = 0; i < choice->n_runs; i++) {
        preempt_run(search, g_ptr_array_index(backend->runs, choice->runs[i]),
                    facts[choice->runs[i]].lost_millicore_ms);
    }
}

/* Whether the limits of the pool and of the client account allow room for one
 * more task. */
static bool
may_hold_more(const struct search *search)
{
    const struct placer *placer = search->placer;
    const struct placement_request *placement = search->placement;
    int64_t held_milli = sched_held_milli(placer->sched, placer->pool);
    struct resources need = placement->step->need;
    for (guint i = 0; i < placer->sched->holds->len; i++) {
        const struct hold *hold = g_ptr_array_index(placer->sched->holds, i);
        if (hold->run == 0 &&
            hold->job->refs.team == placement->job->refs.team) {
            resources_add(&need, &hold->job->steps[hold->step].need, 1);
        }
    }
    return (held_milli == 0 || held_milli + search->request.need.cpu_milli <=
                                   search->capacity_milli / POOL_PART) &&
           sched_team_allows(placer->sched, placement->job, &need);
}

/* Takes the best candidate, and puts it back with what it could stop next. */
static void
preempt_best(struct search *search)
{
    struct preempt_candidate best = search->best[0];
    search->n_best--;
    for (uint32_t i = 0; i < search->n_best; i++) {
        search->best[i] = search->best[i + 1];
    }
    preempt_on(search, best.backend, &best.choice);
    struct preemption_run facts[PREEMPTION_CONSIDERED_MAX];
    uint32_t n_runs = backend_facts(search, best.backend, facts);
    struct resources room = unheld_room(best.backend);
    best.choice = preemption_choose(&search->request, &room, facts, n_runs);
    if (best.choice.found) {
        add_candidate(search, best.backend, &best.choice);
    }
}

/* How long a task of the step may wait and still be stopped for in time. */
static int64_t
wait_ms(const struct placer *placer, const struct placement_request *placement,
        int64_t stop_ms)
{
    const struct job *job = placement->job;
    int64_t until_ms = job->remaining.attainable_until_ms;
    if (job->first_ms > 0) {
        until_ms += job_due_ms(job, placement->occurrence) - job->first_ms;
    }
    return until_ms - placer->unix_ms - stop_ms - PREEMPT_ROUND_MS;
}

static void
round_begin(struct placer *placer, const struct job *job)
{
    struct preempt_round *round = &placer->pool->preempt_round;
    if (round_over(placer)) {
        *round = (struct preempt_round){.began_ms = placer->now_ms};
    }
    round->searched[round->n_searched++] = job;
}

void
placer_preempt(struct placer *placer, const struct placement_request *request)
{
    const struct job_step *step = request->step;
    const struct job *job = request->job;
    if (!placer->sched->policy.queue_priorities || step->gang ||
        step->long_running || !may_search(placer, job)) {
        return;
    }
    uint32_t n_tasks = sched_tasks_without_hold(
        placer->sched, job, request->occurrence, request->step_index,
        placer->sched->holds->len);
    if (n_tasks == 0) {
        return;
    }
    round_begin(placer, job);
    struct preempt_round *round = &placer->pool->preempt_round;
    int64_t stop_ms = sched_stop_visible_after_ms(placer->sched);
    struct search search = {
        .placer = placer,
        .placement = request,
        .request =
            {
                .need = job_step_backend_need(step),
                .priority = job_priority(job),
                .wait_ms = wait_ms(placer, request, stop_ms),
                .stop_ms = stop_ms,
            },
        .room_wanted = round->waiting + n_tasks,
    };
    search.room = room_on_new_hosts(&search);
    search_pool(&search);
    if (!search.lower && search.room < search.room_wanted) {
        round->none = true;
        round->none_below = search.request.priority;
    }
    uint32_t room = search.room - MIN(search.room, round->waiting);
    uint32_t waiting = MIN(n_tasks, room);
    round->waiting += waiting;
    n_tasks = MIN(n_tasks - waiting, (uint32_t)TASKS_PER_SEARCH_MAX);
    while (n_tasks > 0 && search.n_best > 0 && may_hold_more(&search)) {
        preempt_best(&search);
        n_tasks--;
    }
}
