/* Client of the platform's host list, which may lag behind the hosts. */
#ifndef STORE_HOST_LIST_H
#define STORE_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/ms_clock.h"

/**
 * struct host_list_host - one host as the platform lists it
 * @address: address of its backend server, "IP:PORT"
 * @slots: tasks it runs concurrently
 * @connections: connections it accepts
 * @live: every health check passes
 * @leaving: the platform removes it soon; it gets no new work
 * @pool: initial pool of a host that has no host record yet, or NULL
 */
struct host_list_host {
    char *name;
    char *address;
    char *dc;
    char *rack;
    char *pool;
    uint32_t slots;
    uint32_t connections;
    bool live;
    bool leaving;
};

/** struct host_list_view - the complete list, sorted by name */
struct host_list_view {
    const struct host_list_host *hosts;
    size_t n_hosts;
};

/**
 * struct host_list_options - how to follow the list
 * @url: base URL, http://IP:PORT
 * @timeout_ms: deadline of one request in addition to @wait_ms
 * @wait_ms: longest time one long-poll request waits; a dead connection is
 *           noticed after @wait_ms plus @timeout_ms at the latest
 * @changed: called with the first list and after every change; the view is
 *           valid until the next call of @changed
 * @ctx: passed to @changed
 */
struct host_list_options {
    const char *url;
    int64_t timeout_ms;
    int64_t wait_ms;
    struct ms_clock clock;
    void (*changed)(void *ctx, const struct host_list_view *view);
    void *ctx;
};

struct host_list;

struct host_list *
host_list_create(const struct host_list_options *options);

/** host_list_destroy() - cancels the request; no callback follows. */
void
host_list_destroy(struct host_list *list);

/** host_list_view() - the list as last read; empty before that. */
const struct host_list_view *
host_list_view(const struct host_list *list);

/** host_list_find() - host by name, or NULL. */
const struct host_list_host *
host_list_find(const struct host_list_view *view, const char *name);

/** host_list_last_answer_ms() - clock time of the last complete response, or
 * INT64_MIN. */
int64_t
host_list_last_answer_ms(const struct host_list *list);

/**
 * host_list_parse() - parse the body of one response
 * @n_hosts: set to the number of hosts
 * @findings: receives malformed entries, which are left out
 *
 * Returns: hosts sorted by name, to be freed with host_list_hosts_free(), or
 * NULL when @text is not a JSON array.
 */
struct host_list_host *
host_list_parse(const char *text, size_t size_bytes, size_t *n_hosts,
                struct findings *findings);
void
host_list_hosts_free(struct host_list_host *hosts, size_t n_hosts);

#endif
