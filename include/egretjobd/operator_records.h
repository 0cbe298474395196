/* The operator's records as one process passes them on to another that can't
 * reach the store. */
#ifndef EGRETJOBD_OPERATOR_RECORDS_H
#define EGRETJOBD_OPERATOR_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * operator_records_encode() - JSON of the records; g_free()
 * @items: struct kv_item
 * @age_ms: how long ago they were known to be current
 * @as_of: revision of the store that they are as of
 */
char *
operator_records_encode(const GPtrArray *items, int64_t age_ms, int64_t as_of);

/**
 * operator_records_decode() - append the records of @text to @items
 * @error: if false is returned, receives a description with the position of
 *         the error; g_free()
 */
bool
operator_records_decode(const char *text, size_t bytes, GPtrArray *items,
                        int64_t *age_ms, int64_t *as_of, char **error);

#endif
