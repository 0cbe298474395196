/* Client of the placement advice service, which says on which backend servers
 * a policy allows a step to run. */
#ifndef PLATFORM_ADVICE_API_H
#define PLATFORM_ADVICE_API_H

#include <event2/event.h>

#include "core/jobs/scheduler.h"

struct advice_api;

/** struct advice_callback - callback that receives the answers */
struct advice_callback {
    void (*call)(void *ctx, const struct advice_answer *answer);
    void *ctx;
};

struct advice_api *
advice_api_create(struct event_base *base, const char *address,
                  struct advice_callback done);
void
advice_api_destroy(struct advice_api *api);

/** advice_api_request() - ask which of @backend_ids, NULL-terminated, may run
 * @step; one call at a time. */
void
advice_api_request(struct advice_api *api, const char *step,
                   const char *const *backend_ids);

#endif
