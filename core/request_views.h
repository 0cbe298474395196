/* Sets of registered gateways, now and within the retention time. */
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

/** request_views_set() - follow a newer set; an older epoch is ignored. */
void
request_views_set(struct request_views *views, const char *const *members,
                  size_t n_members, uint64_t epoch, int64_t now_ms);

/** request_views_expire() - forget sets replaced longer than the retention
 * time ago. */
void
request_views_expire(struct request_views *views, int64_t now_ms);

/** request_views_owner() - owner of an id under the newest set. */
const char *
request_views_owner(const struct request_views *views, const char *team,
                    const char *id);

/** request_views_registered() - whether @member is in the newest set. */
bool
request_views_registered(const struct request_views *views,
                         const char *member);

/**
 * request_views_earlier() - other gateways that owned the id within the
 * retention time
 * @earlier: REQUEST_IDS_EARLIER_OWNERS_MAX places for their names
 * @more: set to whether there may be others, gone or too many to list
 *
 * Returns: how many were found.
 */
size_t
request_views_earlier(const struct request_views *views, const char *team,
                      const char *id, const char **earlier, bool *more);

#endif
