/* Key-value entries of the stand-in store. */
#ifndef STANDINS_STORE_KV_H
#define STANDINS_STORE_KV_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

struct store_kv;

struct store_kv *
store_kv_create(void);
void
store_kv_destroy(struct store_kv *kv);

/**
 * store_kv_put() - write @key
 * @cas: required modify index, 0 for an absent key, -1 to write in any case
 *
 * Returns: whether the value was written.
 */
bool
store_kv_put(struct store_kv *kv, const char *key, GBytes *value, int64_t cas);

/** store_kv_delete() - remove @key; @cas as for store_kv_put(). */
bool
store_kv_delete(struct store_kv *kv, const char *key, int64_t cas);

/** store_kv_index() - index of the last change of @key, or with @recurse of
 * any key with that prefix. */
uint64_t
store_kv_index(const struct store_kv *kv, const char *key, bool recurse);

/** store_kv_render() - the entry @key, or with @recurse all entries with that
 * prefix, as JSON text; NULL when there are none. */
char *
store_kv_render(const struct store_kv *kv, const char *key, bool recurse);

/** store_kv_render_keys() - keys that begin with @prefix as JSON text; NULL
 * when there are none. */
char *
store_kv_render_keys(const struct store_kv *kv, const char *prefix);

#endif
