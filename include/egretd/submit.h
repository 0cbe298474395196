/* Turns HTTP requests of callers and gateways into requests. */
#ifndef EGRETD_SUBMIT_H
#define EGRETD_SUBMIT_H

#include <libsoup/soup.h>

#include "egretd/frontend.h"

enum {
    REQUEST_ID_MAX_BYTES = 64,
};

/** submit_check_head() - refuse what the head alone shows to be wrong,
 * before the body is read; true when an answer was written. */
bool
submit_check_head(const struct frontend_options *options,
                  SoupServerMessage *message, const char *path);

/** submit_task() - POST /v1/queues/{queue}/tasks. */
void
submit_task(const struct frontend_options *options, SoupServerMessage *message,
            const char *queue);

/** submit_forwarded() - POST /v1/forward/{queue} of another gateway. */
void
submit_forwarded(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path,
                 const char *queue);

/** submit_cancel() - DELETE /v1/requests/{id}. */
void
submit_cancel(const struct frontend_options *options,
              SoupServerMessage *message, const char *request_id);

#endif
