#include "egretjobd/job_call.h"

#include <glib.h>
#include <stdlib.h>

#include "common/text.h"
#include "net/http_client.h"
#include "net/http_server.h"

static const char *const names[JOB_CALL_HEADER_COUNT] = {
    [JOB_CALL_HEADER_ID] = "Egret-Job",
    [JOB_CALL_HEADER_QUEUE] = "Egret-Queue",
    [JOB_CALL_HEADER_POOL] = "Egret-Pool",
    [JOB_CALL_HEADER_TEAM] = "Egret-Team",
    [JOB_CALL_HEADER_ATTEMPTS] = "Egret-Attempts",
};

void
job_call_headers_init(struct job_call_headers *headers,
                      const struct job_call *call)
{
    headers->values[JOB_CALL_HEADER_ID] =
        text_uri_escape(call->id, TEXT_URI_PRINTABLE);
    headers->values[JOB_CALL_HEADER_QUEUE] =
        text_uri_escape(call->queue, TEXT_URI_PRINTABLE);
    headers->values[JOB_CALL_HEADER_POOL] =
        text_uri_escape(call->pool, TEXT_URI_PRINTABLE);
    headers->values[JOB_CALL_HEADER_TEAM] =
        text_uri_escape(call->team, TEXT_URI_PRINTABLE);
    headers->values[JOB_CALL_HEADER_ATTEMPTS] =
        g_strdup_printf("%u", call->attempts);
    for (size_t i = 0; i < JOB_CALL_HEADER_COUNT; i++) {
        headers->list[i] = (struct http_header){.name = names[i],
                                                .value = headers->values[i]};
    }
    headers->list[JOB_CALL_HEADER_COUNT] = (struct http_header){0};
}

bool
job_call_headers_read(struct job_call_headers *headers,
                      const struct http_exchange *exchange,
                      struct job_call *call)
{
    *headers = (struct job_call_headers){0};
    for (size_t i = 0; i < JOB_CALL_HEADER_COUNT; i++) {
        const char *value = http_exchange_header(exchange, names[i]);
        headers->values[i] = text_uri_unescape(value == NULL ? "" : value);
        if (headers->values[i] == NULL) {
            return false;
        }
    }
    call->id = headers->values[JOB_CALL_HEADER_ID];
    call->queue = headers->values[JOB_CALL_HEADER_QUEUE];
    call->pool = headers->values[JOB_CALL_HEADER_POOL];
    call->team = headers->values[JOB_CALL_HEADER_TEAM];
    call->attempts =
        (uint32_t)strtoul(headers->values[JOB_CALL_HEADER_ATTEMPTS], NULL, 10);
    return true;
}

void
job_call_headers_clear(struct job_call_headers *headers)
{
    for (size_t i = 0; i < JOB_CALL_HEADER_COUNT; i++) {
        g_clear_pointer(&headers->values[i], g_free);
    }
}
