#include "core/jobs/entry_watch.h"

enum {
    /* Entries change often, so changes are read in batches. */
    BATCH_GAP_MS = 200,
    /* The store answers with about 500 changes at most. */
    ANSWER_FULL_COUNT = 400,
    /* Writes closer together tell nothing more. */
    WRITE_SPACING_MS = 50,
};

void
entry_watch_init(struct entry_watch *watch)
{
    *watch = (struct entry_watch){
        .writes = g_array_new(FALSE, FALSE, sizeof(struct entry_watch_write)),
    };
}

void
entry_watch_clear(struct entry_watch *watch)
{
    g_array_unref(watch->writes);
}

void
entry_watch_written(struct entry_watch *watch, int64_t revision,
                    int64_t now_ms)
{
    guint n_writes = watch->writes->len;
    if (n_writes > 0 &&
        now_ms - g_array_index(watch->writes, struct entry_watch_write,
                               n_writes - 1)
                     .at_ms <
            WRITE_SPACING_MS) {
        return;
    }
    struct entry_watch_write write = {.revision = revision, .at_ms = now_ms};
    g_array_append_val(watch->writes, write);
}

void
entry_watch_answered(struct entry_watch *watch, int64_t as_of,
                     size_t n_changes)
{
    guint read = 0;
    while (read < watch->writes->len &&
           g_array_index(watch->writes, struct entry_watch_write, read)
                   .revision <= as_of) {
        read++;
    }
    g_array_remove_range(watch->writes, 0, read);
    watch->full = n_changes >= ANSWER_FULL_COUNT;
}

int64_t
entry_watch_unread_since_ms(const struct entry_watch *watch)
{
    return watch->full && watch->writes->len > 0
               ? g_array_index(watch->writes, struct entry_watch_write, 0)
                     .at_ms
               : 0;
}

int64_t
entry_watch_gap_ms(size_t n_changes)
{
    return n_changes < ANSWER_FULL_COUNT ? BATCH_GAP_MS : 0;
}
