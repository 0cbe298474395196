/* Binary min-heap that stores in each entry its position in the heap. */
#include "core/deadline_heap.h"

#include <glib.h>

struct deadline_heap {
    GPtrArray *entries;
};

struct deadline_heap *
deadline_heap_create(void)
{
    struct deadline_heap *heap = g_new0(struct deadline_heap, 1);
    heap->entries = g_ptr_array_new();
    return heap;
}

void
deadline_heap_destroy(struct deadline_heap *heap)
{
    if (heap == NULL) {
        return;
    }
    g_ptr_array_unref(heap->entries);
    g_free(heap);
}

static struct deadline_entry *
entry_at(const struct deadline_heap *heap, size_t i)
{
    return g_ptr_array_index(heap->entries, i);
}

static void
place(struct deadline_heap *heap, size_t i, struct deadline_entry *entry)
{
    g_ptr_array_index(heap->entries, i) = entry;
    entry->index = i + 1;
}

static void
sift_up(struct deadline_heap *heap, size_t i)
{
    struct deadline_entry *entry = entry_at(heap, i);
    while (i > 0) {
        size_t parent = (i - 1) / 2;
        if (entry_at(heap, parent)->at_ms <= entry->at_ms) {
            break;
        }
        place(heap, i, entry_at(heap, parent));
        i = parent;
    }
    place(heap, i, entry);
}

static void
sift_down(struct deadline_heap *heap, size_t i)
{
    struct deadline_entry *entry = entry_at(heap, i);
    size_t n = heap->entries->len;
    for (;;) {
        size_t child = 2 * i + 1;
        if (child >= n) {
            break;
        }
        if (child + 1 < n &&
            entry_at(heap, child + 1)->at_ms < entry_at(heap, child)->at_ms) {
            child++;
        }
        if (entry_at(heap, child)->at_ms >= entry->at_ms) {
            break;
        }
        place(heap, i, entry_at(heap, child));
        i = child;
    }
    place(heap, i, entry);
}

void
deadline_heap_set(struct deadline_heap *heap, struct deadline_entry *entry,
                  int64_t at_ms)
{
    entry->at_ms = at_ms;
    if (entry->index == 0) {
        g_ptr_array_add(heap->entries, entry);
        entry->index = heap->entries->len;
    }
    sift_up(heap, entry->index - 1);
    sift_down(heap, entry->index - 1);
}

void
deadline_heap_remove(struct deadline_heap *heap, struct deadline_entry *entry)
{
    if (entry->index == 0) {
        return;
    }
    size_t i = entry->index - 1;
    size_t last = heap->entries->len - 1;
    struct deadline_entry *moved = entry_at(heap, last);
    g_ptr_array_set_size(heap->entries, (int)last);
    entry->index = 0;
    if (moved == entry) {
        return;
    }
    place(heap, i, moved);
    sift_up(heap, i);
    sift_down(heap, moved->index - 1);
}

int64_t
deadline_heap_first_ms(const struct deadline_heap *heap)
{
    return heap->entries->len == 0 ? INT64_MAX : entry_at(heap, 0)->at_ms;
}

void *
deadline_heap_pop(struct deadline_heap *heap, int64_t now_ms)
{
    if (deadline_heap_first_ms(heap) > now_ms) {
        return NULL;
    }
    struct deadline_entry *entry = entry_at(heap, 0);
    deadline_heap_remove(heap, entry);
    return entry->owner;
}
