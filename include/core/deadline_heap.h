/* Min-heap of deadlines; any entry can be moved or removed. */
#ifndef CORE_DEADLINE_HEAP_H
#define CORE_DEADLINE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct deadline_entry - an entry, embedded in the object it belongs to
 * @at_ms: when it is due
 * @index: position in the heap plus one; 0 when it is in no heap
 * @owner: the object that deadline_heap_pop() returns
 */
struct deadline_entry {
    int64_t at_ms;
    size_t index;
    void *owner;
};

struct deadline_heap;

struct deadline_heap *
deadline_heap_create(void);
void
deadline_heap_destroy(struct deadline_heap *heap);

/** deadline_heap_set() - add @entry or move it to @at_ms; O(log n). */
void
deadline_heap_set(struct deadline_heap *heap, struct deadline_entry *entry,
                  int64_t at_ms);

/** deadline_heap_remove() - remove @entry if it is in the heap; O(log n). */
void
deadline_heap_remove(struct deadline_heap *heap, struct deadline_entry *entry);

/** deadline_heap_first_ms() - time of the first entry; INT64_MAX if none. */
int64_t
deadline_heap_first_ms(const struct deadline_heap *heap);

/** deadline_heap_pop() - remove the first entry that is due at @now_ms and
 * return its owner; NULL if none is due. */
void *
deadline_heap_pop(struct deadline_heap *heap, int64_t now_ms);

#endif
