/* Client of the host API: list of hosts, moves and maintenance. */
#ifndef PLATFORM_HOSTS_API_H
#define PLATFORM_HOSTS_API_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/scheduler.h"

struct hosts_api;

/**
 * struct hosts_callbacks - callbacks that receive the answers
 * @on_list: complete list of hosts; @hosts is NULL if it could not be read
 * @may_command: whether a command that waited for a connection may still be
 *               sent; asked right before, and %HOST_COMMAND_REFUSED if not
 * @on_command: answer to a move (@wave 0) or a reboot; must not destroy the
 *              client
 */
struct hosts_callbacks {
    void (*on_list)(void *ctx, const struct host_info *hosts, size_t n_hosts);
    bool (*may_command)(void *ctx);
    void (*on_command)(void *ctx, const char *host, int64_t wave,
                       enum host_command_result result);
    void *ctx;
};

/** hosts_api_create() - @leader_name names this process in commands. */
struct hosts_api *
hosts_api_create(struct event_base *base, const char *address,
                 const char *leader_name,
                 const struct hosts_callbacks *callbacks);
void
hosts_api_destroy(struct hosts_api *api);

/** hosts_api_list() - read the list of hosts; false if a read is in
 * progress. */
bool
hosts_api_list(struct hosts_api *api);
void
hosts_api_move(struct hosts_api *api, const char *host, const char *pool,
               int64_t token);
void
hosts_api_reboot(struct hosts_api *api, const char *host, int64_t wave,
                 int64_t token);

#endif
