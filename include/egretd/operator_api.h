/* HTTP endpoints for operators and other gateways: health, metrics, status. */
#ifndef EGRETD_OPERATOR_API_H
#define EGRETD_OPERATOR_API_H

#include <libsoup/soup.h>

#include "egretd/frontend.h"

/** operator_health() - GET /healthz. */
void
operator_health(const struct frontend_options *options,
                SoupServerMessage *message);

/** operator_metrics() - GET /metrics. */
void
operator_metrics(const struct frontend_options *options,
                 SoupServerMessage *message);

/** operator_status() - GET /v1/status; checks the Egret-Auth header. */
void
operator_status(const struct frontend_options *options,
                SoupServerMessage *message, const char *path);

/** operator_explain() - GET /v1/explain/{queue}; checks the Egret-Auth header.
 */
void
operator_explain(const struct frontend_options *options,
                 SoupServerMessage *message, const char *path,
                 const char *queue);

/** operator_id_query() - GET /v1/ids/{team}/{id}, from another gateway; checks
 * the Egret-Auth header. */
void
operator_id_query(const struct frontend_options *options,
                  SoupServerMessage *message, const char *path);

#endif
