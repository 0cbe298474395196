/* Validates HTTP requests of callers and gateways and submits them. */
#ifndef EGRETD_SUBMIT_H
#define EGRETD_SUBMIT_H

#include <libsoup/soup.h>

#include "egretd/frontend.h"

enum {
    REQUEST_ID_MAX_BYTES = 64,
};

/** submit_check_head() - check the headers before the body is read; true if
 * the request was refused and the answer written. */
bool
submit_check_head(const struct frontend_options *options,
                  SoupServerMessage *message, const char *path);

/** submit_refuse_memory() - refuse a request whose body does not fit into
 * memory now; its body is not read. */
void
submit_refuse_memory(const struct frontend_options *options,
                     SoupServerMessage *message);

/** submit_task() - POST /v1/queues/{queue}/tasks. */
void
submit_task(const struct frontend_options *options, SoupServerMessage *message,
            const char *queue);

/** submit_forwarded() - POST /v1/forward/{queue}, from another gateway. */
void
submit_forwarded(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path,
                 const char *queue);

/** submit_cancel() - DELETE /v1/requests/{id}. */
void
submit_cancel(const struct frontend_options *options,
              SoupServerMessage *message, const char *request_id);

#endif
