/* Carries out planned actions, by compare-and-swap on the stored records. */
#ifndef EGRETFLEETD_PLAN_EXECUTOR_H
#define EGRETFLEETD_PLAN_EXECUTOR_H

#include "common/counters.h"
#include "common/settings.h"
#include "core/fleet_planner.h"
#include "egretfleetd/fleet_view.h"

/** struct plan_executor_options - services and records that it uses */
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
plan_executor_destroy(struct plan_executor *executor);

/**
 * plan_executor_run() - carry out the actions of @plan that are due
 *
 * An action is due once it has been planned for the delay of this controller
 * (core/stagger.h). All due actions on a record go into one write. A record
 * whose last write has no outcome yet is skipped; whatever the outcome, the
 * next pass plans from the record as then stored.
 */
void
plan_executor_run(struct plan_executor *executor,
                  const struct fleet_plan *plan);

#endif
