/* Host list of the stand-in store; changes can be delayed. */
#ifndef STANDINS_STORE_HOSTS_H
#define STANDINS_STORE_HOSTS_H

#include <stdint.h>

/**
 * struct store_hosts_listener - called when a change becomes visible
 */
struct store_hosts_listener {
    void (*changed)(void *ctx);
    void *ctx;
};

struct store_hosts;

struct store_hosts *
store_hosts_create(struct store_hosts_listener listener);
void
store_hosts_destroy(struct store_hosts *hosts);

/** store_hosts_set() - replace the list; visible after @delay_ms. */
void
store_hosts_set(struct store_hosts *hosts, const char *text, int64_t delay_ms);

/** store_hosts_text() - visible list as JSON text. */
const char *
store_hosts_text(const struct store_hosts *hosts);

/** store_hosts_index() - index of the last visible change. */
uint64_t
store_hosts_index(const struct store_hosts *hosts);

#endif
