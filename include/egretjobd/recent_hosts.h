/* Hosts about which a command was sent recently. */
#ifndef EGRETJOBD_RECENT_HOSTS_H
#define EGRETJOBD_RECENT_HOSTS_H

#include <stdint.h>

struct recent_hosts;

struct recent_hosts *
recent_hosts_create(void);
void
recent_hosts_destroy(struct recent_hosts *recent);

/** recent_hosts_add() - a command about @host is about to be sent; it counts
 * until @until_ms, or longer if it was added before. */
void
recent_hosts_add(struct recent_hosts *recent, const char *host,
                 int64_t until_ms);

/**
 * recent_hosts_inherit() - add the hosts of @record, which a previous leader
 * has stored, so that a third leader finds them too.
 * @each: called with each host
 */
void
recent_hosts_inherit(struct recent_hosts *recent, const char *record,
                     int64_t until_ms,
                     void (*each)(void *ctx, const char *host), void *ctx);

/** recent_hosts_encode() - the hosts that count at @now_ms, separated by
 * spaces; g_free(). Drops the others. */
char *
recent_hosts_encode(struct recent_hosts *recent, int64_t now_ms);

#endif
