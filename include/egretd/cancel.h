/* Cancels callers' requests, also those that another gateway holds. */
#ifndef EGRETD_CANCEL_H
#define EGRETD_CANCEL_H

#include <libsoup/soup.h>

#include "egretd/engine.h"

struct cancel_relay;

struct cancel_relay *
cancel_relay_create(int64_t timeout_ms);
void
cancel_relay_destroy(struct cancel_relay *relay);

/**
 * cancel_request() - handle DELETE /v1/requests/{id} from @team
 *
 * If this gateway doesn't hold the request, the cancellation is relayed to the
 * gateway that owns the id, with the caller's own key. The header
 * Egret-Sent-On keeps that gateway from relaying it again.
 */
void
cancel_request(struct cancel_relay *relay, struct engine *engine,
               SoupServerMessage *message, const char *team,
               const char *request_id);

#endif
