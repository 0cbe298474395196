/* Shared declarations of the gateway benchmarks. */
#ifndef BENCH_GATEWAY_BENCH_H
#define BENCH_GATEWAY_BENCH_H

#include <stdbool.h>
#include <stdint.h>

#include "../tests/process/process_fleet.h"

/**
 * struct bench_usage - resource usage of a process
 * @bytes: bytes sent and received on its open sockets, plus those through the
 *         proxy to the store
 */
struct bench_usage {
    int64_t cpu_ms;
    int64_t rss_kb;
    int64_t bytes;
};

/** bench_usage_read() - read the resource usage of gateway @i. */
struct bench_usage
bench_usage_read(struct fleet *fleet, uint32_t i);

/** bench_report() - print a measured value and whether it meets its bound. */
void
bench_report(const char *name, double value, const char *unit, double bound,
             bool at_least);

/** bench_path() - measure latency, throughput and the cost of refusals. */
void
bench_path(void);

#endif
