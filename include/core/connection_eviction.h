/* Decides which connections of an HTTP server are closed. Load pattern: many
 * clients that leave requests incomplete, do not read responses or hold idle
 * connections, beside ordinary clients. */
#ifndef CORE_CONNECTION_EVICTION_H
#define CORE_CONNECTION_EVICTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONNECTION_EVICTION_NONE SIZE_MAX

/** enum connection_state - what a connection waits for */
enum connection_state {
    /* The first byte of a request. */
    CONNECTION_IDLE,
    /* The rest of a header. */
    CONNECTION_READING_HEAD,
    /* The rest of a body. */
    CONNECTION_READING_BODY,
    /* The response, which this side has to produce. */
    CONNECTION_SERVING,
    /* The client, which has to read the response. */
    CONNECTION_WRITING,
};

/**
 * struct connection_facts - state of one connection
 * @since_ms: time of the last progress: the last request or the accept when
 *            idle, the first byte of a header, the last byte of a body or of a
 *            response
 * @held_bytes: request and response bodies in memory
 * @unsized_bytes: part of @held_bytes that is a request body whose length was
 *                 not announced
 */
struct connection_facts {
    enum connection_state state;
    int64_t since_ms;
    int64_t held_bytes;
    int64_t unsized_bytes;
};

/**
 * struct connection_timeouts - longest time without progress
 * @head_ms: from the first byte of a header to its last
 * @stall_ms: between two bytes of a body or of a response
 */
struct connection_timeouts {
    int64_t head_ms;
    int64_t stall_ms;
};

/**
 * connection_eviction_choose() - connection to close for a new one
 *
 * Returns: index of the connection without progress for the longest time, or
 * CONNECTION_EVICTION_NONE when a request is being served on each.
 */
size_t
connection_eviction_choose(const struct connection_facts *facts,
                           size_t n_facts);

/**
 * connection_eviction_choose_holder() - connection to close for memory
 * @latest_ms: connections with progress after this time are not chosen
 *
 * Returns: like connection_eviction_choose(), among the connections that hold
 * bytes.
 */
size_t
connection_eviction_choose_holder(const struct connection_facts *facts,
                                  size_t n_facts, int64_t latest_ms);

/**
 * connection_eviction_choose_unsized() - body to drop for memory
 *
 * Returns: index of the connection that reads the longest body whose length
 * was not announced, or CONNECTION_EVICTION_NONE.
 */
size_t
connection_eviction_choose_unsized(const struct connection_facts *facts,
                                   size_t n_facts);

/** connection_timed_out() - whether a connection has waited for its client
 * for longer than allowed; an idle connection has no time-out. */
bool
connection_timed_out(const struct connection_facts *facts,
                     const struct connection_timeouts *timeouts,
                     int64_t now_ms);

#endif
