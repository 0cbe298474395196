/* Calls to the service that knows which backend servers a policy allows. */
#ifndef PLATFORM_ADVICE_API_H
#define PLATFORM_ADVICE_API_H

#include <event2/event.h>

#include "core/jobs/scheduler.h"

struct advice_api;

/** struct advice_done - where answers go */
struct advice_done {
    void (*call)(void *ctx, const struct advice_answer *answer);
    void *ctx;
};

struct advice_api *
advice_api_create(struct event_base *base, const char *address,
                  struct advice_done done);
void
advice_api_destroy(struct advice_api *api);

/** advice_api_ask() - about one step; one call at a time. */
void
advice_api_ask(struct advice_api *api, const char *step,
               const char *const *backend_ids);

#endif
