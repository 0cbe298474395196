/* Process-wide counters and gauges in the text exposition format. */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <glib.h>
#include <stdint.h>

struct counters;

struct counters *
counters_create(void);
void
counters_destroy(struct counters *counters);

/**
 * counters_slot() - find or create a value
 * @name: metric name, such as "egret_tasks_total"
 * @labels: label text without braces, such as "team=\"a\"", or NULL
 *
 * Returns: pointer that is valid as long as @counters; callers on hot paths
 * cache it and add to it directly.
 */
int64_t *
counters_slot(struct counters *counters, const char *name, const char *labels);

/** counters_add() - add @amount to a value found by name and labels. */
void
counters_add(struct counters *counters, const char *name, const char *labels,
             int64_t amount);

/** counters_set() - set a gauge. */
void
counters_set(struct counters *counters, const char *name, const char *labels,
             int64_t value);

/** counters_render() - all values, one "name{labels} value" line each. */
void
counters_render(const struct counters *counters, GString *out);

#endif
