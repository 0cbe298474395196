/* Carries planned steps out by compare-and-swap. */
#ifndef EGRETFLEETD_PLAN_EXECUTOR_H
#define EGRETFLEETD_PLAN_EXECUTOR_H

#include "common/counters.h"
#include "common/settings.h"
#include "core/fleet_planner.h"
#include "egretfleetd/fleet_view.h"

/** struct plan_executor_options - what it acts on */
struct plan_executor_options {
    const struct settings *settings;
    struct store *store;
    struct ms_clock clock;
    struct counters *counters;
    struct fleet_view *view;
};

struct plan_executor;

struct plan_executor *
plan_executor_create(const struct plan_executor_options *options);
void
plan_executor_destroy(struct plan_executor *actor);

/**
 * plan_executor_run() - write what is this controller's turn
 *
 * Steps on one record go into one write. A record with a write under way is
 * left alone until the outcome is known; whatever that is, the next pass
 * plans from what then stands in the store.
 */
void
plan_executor_run(struct plan_executor *actor, const struct fleet_plan *plan);

#endif
