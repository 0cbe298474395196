/* What the tasks of a gang have in common: they start together, end together,
 * fail together and go on from one checkpoint. */
#ifndef CORE_JOBS_GANG_H
#define CORE_JOBS_GANG_H

#include <stdint.h>

#include "core/jobs/job.h"

/** gang_failures() - how many runs of a gang have failed; one in which several
 * members failed counts once. */
uint32_t
gang_failures(const struct step_progress *progress, uint32_t task_count);

/**
 * gang_share_checkpoint() - let all members go on from the newest checkpoint
 *
 * That of any member is valid for the gang, and a run of members with
 * different ones doesn't begin.
 */
void
gang_share_checkpoint(struct step_progress *progress, uint32_t task_count);

#endif
