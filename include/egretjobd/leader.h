/* Runs the scheduler and carries out its decisions while this process is the
 * leader. */
#ifndef EGRETJOBD_LEADER_H
#define EGRETJOBD_LEADER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/jobs/explain.h"
#include "core/jobs/scheduler.h"
#include "egretjobd/job_call.h"
#include "egretjobd/leader_inbox.h"
#include "egretjobd/node.h"

/** leader_create() - read the stored state, then start scheduling;
 * @term counts leaderships and keeps their run numbers apart;
 * @numbers_revision, @leases_revision: revisions of RECORD_RUN_NUMBERS_KEY and
 * RECORD_HANDOVER_KEY, 0: there is none. */
struct leader *
leader_create(struct node *node, int64_t token, uint32_t term,
              int64_t numbers_revision, int64_t leases_revision);

/** leader_destroy() - stop at once; NULL is allowed. */
void
leader_destroy(struct leader *leader);

/** leader_ready() - whether the stored state has been read. */
bool
leader_ready(const struct leader *leader);

/** leader_config_changed() - the active configuration has changed. */
void
leader_config_changed(struct leader *leader);

/** leader_operator_records_changed() - data centres out of service or
 * maintenance waves may have changed. */
void
leader_operator_records_changed(struct leader *leader);

/** leader_job_stored() - this process has stored a new job. */
void
leader_job_stored(struct leader *leader, const char *id, const char *value,
                  size_t bytes);

/** leader_handle_call() - handle a caller's request. */
void
leader_handle_call(struct leader *leader, const struct job_call *call,
                   struct job_reply reply);

/** leader_explain() - scheduler_explain(); false also while the stored state
 * is being read. */
bool
leader_explain(struct leader *leader, struct job *job,
               struct job_explanation *explanation);

/** leader_renewal_delay() - a renewal of the leadership took @delay_ms. */
void
leader_renewal_delay(struct leader *leader, int64_t delay_ms);

/** leader_exhausted() - whether the leader is late although it sheds all it
 * can; false for NULL. */
bool
leader_exhausted(const struct leader *leader);

/** leader_open_leases() - record of the leases that may run when the next
 * leader takes over; g_free(). NULL: not known. */
char *
leader_open_leases(struct leader *leader);

/** leader_stats() - statistics of its scheduler and of its inbox; empty on a
 * process that doesn't lead. */
void
leader_stats(const struct leader *leader, struct sched_stats *stats,
             struct inbox_stats *inbox);

#endif
