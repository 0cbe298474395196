/* Small HTTP/1.1 client whose cost per request does not grow with the number
 * of concurrent requests. */
#ifndef STANDINS_LOAD_HTTP_H
#define STANDINS_LOAD_HTTP_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct load_http_response - a complete response, or the reason why not
 * @error: NULL for a complete response
 */
struct load_http_response {
    guint status;
    SoupMessageHeaders *headers;
    GBytes *body;
    const char *error;
};

/**
 * struct load_http_request - one request
 * @target: "IP:port"
 * @path: path to post to
 * @headers: header lines, each with its CRLF
 * @reuse_connection: may use an idle connection; retried once on a new one if
 *                    that closes without a response
 */
struct load_http_request {
    const char *target;
    const char *path;
    const char *headers;
    const char *body;
    bool reuse_connection;
    void (*done)(void *ctx, const struct load_http_response *response);
    void *ctx;
};

struct load_http;

struct load_http *
load_http_create(int64_t timeout_ms);
void
load_http_destroy(struct load_http *http);

/** load_http_post() - send a request; its @done is called once, after this
 * function has returned. */
void
load_http_post(struct load_http *http,
               const struct load_http_request *request);

#endif
