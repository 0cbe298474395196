/* Asks other gateways what they know of a request id. */
#ifndef EGRETD_ID_QUERIER_H
#define EGRETD_ID_QUERIER_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "core/request_ids.h"

/**
 * struct id_query - one question
 * @address: "IP:port" of the gateway asked, named @peer
 * @asker: this gateway's incarnation
 */
struct id_query {
    const char *address;
    const char *peer;
    const char *querier;
    const char *team;
    const char *id;
};

/** struct id_querier_options - @reported gets one report for each question */
struct id_querier_options {
    const char *secret;
    int64_t timeout_ms;
    void (*reported)(void *ctx, const char *team, const char *id,
                     const char *peer, const struct request_report *report);
    void *ctx;
};

struct id_querier;

struct id_querier *
id_querier_create(const struct id_querier_options *options);
void
id_querier_destroy(struct id_querier *asker);

/** id_querier_send() - GET /v1/ids/{team}/{id}; no answer in time is reported
 * as REQUEST_UNREACHABLE. */
void
id_querier_send(struct id_querier *asker, const struct id_query *question);

/** id_report_format() - @report as the answer to a question. */
char *
id_report_format(const struct request_report *report);

#endif
