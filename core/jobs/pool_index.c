/*
 * Backend servers of a pool by free processor capacity, kept up to date by
 * events. At a peak most of them are full; placement then looks only at those
 * that have the capacity for a task, fullest first.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

void
pool_index_init(struct pool_index *index)
{
    for (int i = 0; i < POOL_SLOT_COUNT; i++) {
        index->slots[i] = g_ptr_array_new();
    }
    index->largest_milli = 1;
}

void
pool_index_clear(struct pool_index *index)
{
    for (int i = 0; i < POOL_SLOT_COUNT; i++) {
        g_ptr_array_unref(index->slots[i]);
    }
}

void
pool_index_remove(struct pool_index *index, struct backend *backend)
{
    if (backend->pool_slot == 0) {
        return;
    }
    GPtrArray *slot = index->slots[backend->pool_slot - 1];
    struct backend *last = g_ptr_array_index(slot, slot->len - 1);
    g_ptr_array_index(slot, backend->slot_index) = last;
    last->slot_index = backend->slot_index;
    g_ptr_array_set_size(slot, (int)slot->len - 1);
    backend->pool_slot = 0;
}

uint32_t
pool_index_slot(const struct pool_index *index, int64_t free_milli)
{
    /* The largest capacity may be nothing. */
    int64_t slot =
        free_milli * POOL_FREE_SLOT_COUNT / MAX(index->largest_milli, 1);
    return (uint32_t)CLAMP(slot, 0, POOL_FREE_SLOT_COUNT - 1);
}

static void
index_add(struct pool_index *index, struct backend *backend)
{
    uint32_t slot =
        backend->runs->len + backend->strays->len == 0
            ? (uint32_t)POOL_EMPTY_SLOT
            : pool_index_slot(index, backend->entry.capacity.cpu_milli -
                                         backend->used.cpu_milli);
    backend->pool_slot = slot + 1;
    backend->slot_index = index->slots[slot]->len;
    g_ptr_array_add(index->slots[slot], backend);
}

/* Spreads the slots over a larger capacity. */
static void
index_widen(struct pool_index *index, int64_t largest_milli)
{
    GPtrArray *all = g_ptr_array_new();
    for (int i = 0; i < POOL_SLOT_COUNT; i++) {
        g_ptr_array_extend(all, index->slots[i], NULL, NULL);
        g_ptr_array_set_size(index->slots[i], 0);
    }
    index->largest_milli = largest_milli;
    for (guint i = 0; i < all->len; i++) {
        index_add(index, g_ptr_array_index(all, i));
    }
    g_ptr_array_unref(all);
}

void
sched_backend_changed(struct scheduler *sched, struct backend *backend)
{
    struct pool_index *index = &backend->pool->index;
    pool_index_remove(index, backend);
    if (!sched_backend_usable(sched, backend)) {
        return;
    }
    if (backend->entry.capacity.cpu_milli > index->largest_milli) {
        index_widen(index, backend->entry.capacity.cpu_milli);
    }
    index_add(index, backend);
}

bool
sched_backend_reserved(const struct scheduler *sched,
                       const struct backend *backend)
{
    return backend->reserved_pass == sched->pass && sched->pass != 0;
}
