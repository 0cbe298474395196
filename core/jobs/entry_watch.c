#include "core/jobs/entry_watch.h"

enum {
    /* Entries change often, so changes are read in batches. */
    BATCH_GAP_MS = 200,
    /* The store answers with about 500 changes at most. */
    ANSWER_FULL_COUNT = 400,
};

int64_t
entry_watch_gap_ms(size_t n_changes)
{
    return n_changes < ANSWER_FULL_COUNT ? BATCH_GAP_MS : 0;
}
