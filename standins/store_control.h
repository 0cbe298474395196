/* Admin interface of the stand-in store: host list, faults and statistics. */
#ifndef STANDINS_STORE_CONTROL_H
#define STANDINS_STORE_CONTROL_H

#include <libsoup/soup.h>

#include "store_faults.h"
#include "store_hosts.h"
#include "store_stats.h"

/**
 * struct store_control - objects that the admin interface reads and changes
 * @stall_watches: called when the fault "silence_watches" is set: waiting
 *                 calls must not be answered any more
 */
struct store_control {
    struct store_hosts *hosts;
    struct store_faults *faults;
    struct store_stats *stats;
    void (*stall_watches)(void *ctx);
    void *ctx;
};

/** store_control_serve() - handle a request below /standin. */
void
store_control_serve(const struct store_control *control,
                    SoupServerMessage *message, const char *path);

#endif
