/* Asks other gateways what they know of a request id. */
#ifndef EGRETD_ID_QUERIER_H
#define EGRETD_ID_QUERIER_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "core/request_ids.h"

/**
 * struct id_question - one question
 * @address: "IP:port" of the gateway asked, named @peer
 * @asker: this gateway's incarnation
 */
struct id_question {
    const char *address;
    const char *peer;
    const char *asker;
    const char *team;
    const char *id;
};

/** struct id_asker_options - @told gets one report for each question */
struct id_asker_options {
    const char *secret;
    int64_t timeout_ms;
    void (*told)(void *ctx, const char *team, const char *id, const char *peer,
                 const struct request_report *report);
    void *ctx;
};

struct id_asker;

struct id_asker *
id_asker_create(const struct id_asker_options *options);
void
id_asker_destroy(struct id_asker *asker);

/** id_asker_ask() - GET /v1/ids/{team}/{id}; no answer in time is reported
 * as REQUEST_UNREACHABLE. */
void
id_asker_ask(struct id_asker *asker, const struct id_question *question);

/** id_report_build() - @report as the answer to a question. */
char *
id_report_build(const struct request_report *report);

#endif
