/* Sets of registered gateways: the current one and those that were current
 * within the retention time. */
#ifndef CORE_REQUEST_VIEWS_H
#define CORE_REQUEST_VIEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct request_views;

struct request_views *
request_views_create(const char *self, int64_t retention_ms);
void
request_views_destroy(struct request_views *views);

/** request_views_set() - set the current members, if @epoch is newer. */
void
request_views_set(struct request_views *views, const char *const *members,
                  size_t n_members, uint64_t epoch, int64_t now_ms);

/** request_views_expire() - drop sets that were replaced longer ago than the
 * retention time. */
void
request_views_expire(struct request_views *views, int64_t now_ms);

/** request_views_owner() - owner of an id in the current set. */
const char *
request_views_owner(const struct request_views *views, const char *team,
                    const char *id);

/** request_views_registered() - whether @member is in the current set. */
bool
request_views_registered(const struct request_views *views,
                         const char *member);

/**
 * request_views_earlier() - other gateways that owned the id within the
 * retention time
 * @earlier: array of REQUEST_IDS_EARLIER_OWNERS_MAX names to fill
 * @more: set to whether there may be others: unknown ones, or more than fit
 *
 * Returns: how many were found.
 */
size_t
request_views_earlier(const struct request_views *views, const char *team,
                      const char *id, const char **earlier, bool *more);

#endif
