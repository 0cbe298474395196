#include "egretjobd/scheduler_metrics.h"

/** struct metric - a line of the page */
struct metric {
    const char *name;
    uint64_t value;
};

void
scheduler_metrics_add(GString *text, const struct sched_stats *stats)
{
    const struct metric metrics[] = {
        {"jobs_active", stats->jobs_active},
        {"runs", stats->runs},
        {"backends", stats->backends},
        {"backends_unsettled", stats->backends_unreconciled},
        {"runs_started_total", stats->started},
        {"tasks_done_total", stats->done},
        {"runs_failed_total", stats->failed},
        {"runs_lost_total", stats->lost},
        {"starts_stale_total", stats->stale_numbers},
        {"shed_level", (uint64_t)stats->shed},
        {"start_window", stats->start_window},
        {"starts_in_flight", stats->starts_in_flight},
        {"loop_lag_ms", (uint64_t)MAX(stats->loop_lag_ms, 0)},
        {"demand_forecasts_total", stats->forecasts},
        {"demand_forecasts_missed_total", stats->forecasts_missed},
        {"share_passes_total", stats->share_passes},
        {"share_accepted_total", stats->share_accepted},
        {"share_refused_total", stats->share_refused},
        {"preemptions_total", stats->preemptions},
        {"runs_preempted_total", stats->preempted},
        {"preemption_holds", stats->holds},
        {"reservations", stats->reservations},
        {"reservations_made_total", stats->reservations_made},
        {"reservations_moved_total", stats->reservations_moved},
        {"reservations_used_total", stats->reservations_used},
        {"tasks_backfilled_total", stats->backfilled},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n",
                               metrics[i].name, metrics[i].value);
    }
}
