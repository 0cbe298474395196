/* The scheduler's lines of the metrics page. */
#ifndef EGRETJOBD_SCHEDULER_METRICS_H
#define EGRETJOBD_SCHEDULER_METRICS_H

#include <glib.h>

#include "core/jobs/scheduler.h"

/** scheduler_metrics_add() - append a line "NAME VALUE" for each statistic. */
void
scheduler_metrics_add(GString *text, const struct sched_stats *stats);

#endif
