/* Queries other gateways for what they know of a request id. */
#ifndef EGRETD_ID_QUERIER_H
#define EGRETD_ID_QUERIER_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "core/request_ids.h"

/**
 * struct id_query - one query
 * @address: "IP:port" of the queried gateway
 * @peer: its incarnation
 * @querier: this gateway's incarnation
 */
struct id_query {
    const char *address;
    const char *peer;
    const char *querier;
    const char *team;
    const char *id;
};

/**
 * struct id_querier_options - how to send queries
 * @timeout_ms: deadline of one query
 * @replied: called once for each query, after id_querier_send() returned
 */
struct id_querier_options {
    const char *secret;
    int64_t timeout_ms;
    void (*replied)(void *ctx, const char *team, const char *id,
                    const char *peer, const struct id_query_reply *reply);
    void *ctx;
};

struct id_querier;

struct id_querier *
id_querier_create(const struct id_querier_options *options);
void
id_querier_destroy(struct id_querier *querier);

/** id_querier_send() - send GET /v1/ids/{team}/{id}; reports
 * ID_QUERY_UNREACHABLE if no valid answer comes in time. */
void
id_querier_send(struct id_querier *querier, const struct id_query *query);

/** id_query_reply_format() - @reply as the JSON answer to a query; free it
 * with g_free(). */
char *
id_query_reply_format(const struct id_query_reply *reply);

#endif
