/* Counters of calls to the stand-in store and of bytes. */
#ifndef STANDINS_STORE_STATS_H
#define STANDINS_STORE_STATS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct store_stats - counters since the start
 * @bytes_in: bytes of written values
 * @bytes_out: bytes of response bodies
 */
struct store_stats {
    int64_t started_us;
    uint64_t gets;
    uint64_t watches;
    uint64_t puts;
    uint64_t deletes;
    uint64_t hosts;
    uint64_t bytes_in;
    uint64_t bytes_out;
};

void
store_stats_init(struct store_stats *stats);

/**
 * store_stats_count() - count one call
 * @hosts: a request for the host list
 * @is_watch: a read that waits for a change
 */
void
store_stats_count(struct store_stats *stats, const char *method, bool hosts,
                  bool is_watch);

/** store_stats_render() - counters and uptime as JSON text. */
char *
store_stats_render(const struct store_stats *stats);

#endif
