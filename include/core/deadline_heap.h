/* Entries ordered by time, each removable at any moment. */
#ifndef CORE_DEADLINE_HEAP_H
#define CORE_DEADLINE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct deadline_entry - an entry, embedded in what it belongs to
 * @at_ms: when it is due
 * @index: position in the heap plus one; 0 when it is in none
 * @owner: what it is embedded in
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

/** deadline_heap_remove() - take @entry out if it is in; O(log n). */
void
deadline_heap_remove(struct deadline_heap *heap, struct deadline_entry *entry);

/** deadline_heap_first_ms() - time of the first entry; INT64_MAX when empty.
 */
int64_t
deadline_heap_first_ms(const struct deadline_heap *heap);

/** deadline_heap_pop() - owner of the first entry that is due at @now_ms,
 * which is taken out; NULL for none. */
void *
deadline_heap_pop(struct deadline_heap *heap, int64_t now_ms);

#endif
