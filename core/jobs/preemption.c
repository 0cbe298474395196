#include "core/jobs/preemption.h"

enum {
    /* Below it a report rounds too much to extrapolate from. */
    PERCENT_MIN = 5,
    /* A run that is over its estimate is expected to need this part of its
     * time once more: true run times are up to twice the estimate. */
    OVERDUE_PART = 4,
};

int64_t
preemption_remaining_ms(const struct run_progress *progress)
{
    int64_t percent = CLAMP(progress->percent, 0, 100);
    int64_t estimate_ms = MAX(progress->estimate_ms, 0);
    if (percent >= PERCENT_MIN && !progress->adopted) {
        return progress->worked_ms * (100 - percent) / percent;
    }
    if (percent >= PERCENT_MIN) {
        return estimate_ms * (100 - percent) / 100;
    }
    return progress->worked_ms < estimate_ms
               ? estimate_ms - progress->worked_ms
               : progress->worked_ms / OVERDUE_PART;
}

int64_t
preemption_lost_ms(const struct run_progress *progress)
{
    int64_t lost_ms = progress->worked_ms;
    if (progress->adopted && progress->percent > 0) {
        int64_t done_ms =
            MAX(progress->estimate_ms, 0) * MIN(progress->percent, 100) / 100;
        lost_ms = MAX(lost_ms, done_ms);
    }
    if (progress->saved_ago_ms >= 0) {
        lost_ms = MIN(lost_ms, progress->saved_ago_ms);
    }
    return lost_ms;
}

/* Adds what ends by itself within @within_ms. */
static struct resources
room_after(const struct resources *room, const struct preemption_run *runs,
           uint32_t n_runs, int64_t within_ms)
{
    struct resources sum = *room;
    for (uint32_t i = 0; i < n_runs; i++) {
        if (runs[i].ends_ms <= within_ms) {
            resources_add(&sum, &runs[i].need, 1);
        }
    }
    return sum;
}

uint32_t
preemption_room_in_time(const struct preemption_request *request,
                        const struct resources *room,
                        const struct preemption_run *runs, uint32_t n_runs)
{
    struct resources rest = room_after(
        room, runs, n_runs, MAX(request->wait_ms, request->stop_ms));
    uint32_t count = 0;
    /* Bounded, since a task may need nothing. */
    while (count < JOB_STEP_TASKS_MAX &&
           resources_fit(&rest, &request->need)) {
        resources_add(&rest, &request->need, -1);
        count++;
    }
    return count;
}

static bool
is_candidate(const struct preemption_request *request,
             const struct preemption_run *run)
{
    return run->may_stop && run->priority > request->priority &&
           run->ends_ms > request->stop_ms;
}

/* Positions of the runs that may be stopped, least lost work first; returns
 * their number. */
static uint32_t
sort_candidates(const struct preemption_request *request,
                const struct preemption_run *runs, uint32_t n_runs,
                uint32_t *sorted)
{
    uint32_t n_sorted = 0;
    for (uint32_t i = 0; i < MIN(n_runs, (uint32_t)PREEMPTION_CONSIDERED_MAX);
         i++) {
        if (!is_candidate(request, &runs[i])) {
            continue;
        }
        uint32_t at = n_sorted++;
        for (; at > 0 && runs[sorted[at - 1]].lost_millicore_ms >
                             runs[i].lost_millicore_ms;
             at--) {
            sorted[at] = sorted[at - 1];
        }
        sorted[at] = i;
    }
    return n_sorted;
}

static bool
fits_after(const struct resources *room, const struct resources *more,
           const struct resources *need)
{
    struct resources sum = *room;
    resources_add(&sum, more, 1);
    return resources_fit(&sum, need);
}

/* Takes runs in order until there is room, then leaves out those without
 * which there is room too, the most lost work first. */
static struct preemption_choice
choose_several(const struct preemption_request *request, struct resources room,
               const struct preemption_run *runs, const uint32_t *sorted,
               uint32_t n_sorted)
{
    struct preemption_choice choice = {0};
    uint32_t n_taken = 0;
    while (n_taken < n_sorted && !resources_fit(&room, &request->need)) {
        resources_add(&room, &runs[sorted[n_taken++]].need, 1);
    }
    if (!resources_fit(&room, &request->need)) {
        return choice;
    }
    for (uint32_t i = n_taken; i > 0; i--) {
        const struct preemption_run *run = &runs[sorted[i - 1]];
        struct resources without = room;
        resources_add(&without, &run->need, -1);
        if (resources_fit(&without, &request->need)) {
            room = without;
            continue;
        }
        if (choice.n_runs == PREEMPTION_RUNS_MAX) {
            return (struct preemption_choice){0};
        }
        choice.runs[choice.n_runs++] = sorted[i - 1];
        choice.lost_millicore_ms += run->lost_millicore_ms;
    }
    choice.found = choice.n_runs > 0;
    return choice;
}

struct preemption_choice
preemption_choose(const struct preemption_request *request,
                  const struct resources *room,
                  const struct preemption_run *runs, uint32_t n_runs)
{
    uint32_t sorted[PREEMPTION_CONSIDERED_MAX];
    uint32_t n_sorted = sort_candidates(request, runs, n_runs, sorted);
    struct resources soon = room_after(room, runs, n_runs, request->stop_ms);
    struct preemption_choice choice =
        choose_several(request, soon, runs, sorted, n_sorted);
    for (uint32_t i = 0; choice.found && i < n_sorted; i++) {
        const struct preemption_run *run = &runs[sorted[i]];
        if (run->lost_millicore_ms >= choice.lost_millicore_ms) {
            break;
        }
        if (fits_after(&soon, &run->need, &request->need)) {
            choice = (struct preemption_choice){
                .found = true,
                .n_runs = 1,
                .runs = {sorted[i]},
                .lost_millicore_ms = run->lost_millicore_ms,
            };
        }
    }
    return choice;
}
