/*
 * Which connection of a listening address is closed, and when requests are
 * refused, so that clients that pipeline requests, read no responses, or send
 * their requests slowly or never take neither all memory nor all descriptors.
 * No input or output: the server reports what happens and carries out the
 * decisions.
 */
#ifndef CORE_CONNECTION_LIMITS_H
#define CORE_CONNECTION_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * enum connection_phase - what a connection waits for
 * @CONNECTION_READING: the rest of a request, or a request at all
 * @CONNECTION_SERVED: the reply to its request; it is never closed
 * @CONNECTION_WRITING: its client, to read a response
 */
enum connection_phase {
    CONNECTION_READING,
    CONNECTION_SERVED,
    CONNECTION_WRITING,
};

/**
 * struct connection_entry - one connection, embedded in the server's own
 * @phase: since @since_ms
 * @since_ms: last progress, which is a change of the phase; single bytes are
 *            none, so that a client that sends one at a time makes no progress
 * @bytes: memory that its buffers hold
 * @older: the connection without progress that is next in age, or NULL
 */
struct connection_entry {
    enum connection_phase phase;
    int64_t since_ms;
    size_t bytes;
    struct connection_entry *older;
    struct connection_entry *newer;
};

/**
 * struct connection_limits - limits and use of one listening address
 * @open_max: connections that may be open
 * @bytes_max: bytes that all buffers may hold
 * @oldest: of the connections that are not being served, the one whose last
 *          progress is the longest ago; NULL: none
 */
struct connection_limits {
    uint32_t open_max;
    size_t bytes_max;
    uint32_t open;
    size_t bytes;
    struct connection_entry *oldest;
    struct connection_entry *newest;
};

/** enum connection_excess - why a connection has to be closed */
enum connection_excess {
    CONNECTION_EXCESS_NONE,
    CONNECTION_EXCESS_OPEN,
    CONNECTION_EXCESS_BYTES,
};

/** connection_limits_add() - a connection was accepted; times never
 * decrease. */
void
connection_limits_add(struct connection_limits *limits,
                      struct connection_entry *entry, int64_t now_ms);

/** connection_limits_remove() - a connection was closed. */
void
connection_limits_remove(struct connection_limits *limits,
                         struct connection_entry *entry);

/** connection_limits_enter() - a connection entered @phase. */
void
connection_limits_enter(struct connection_limits *limits,
                        struct connection_entry *entry,
                        enum connection_phase phase, int64_t now_ms);

/** connection_limits_hold() - the buffers of a connection hold @bytes now. */
void
connection_limits_hold(struct connection_limits *limits,
                       struct connection_entry *entry, size_t bytes);

/**
 * connection_limits_excess() - connection to close next, or NULL
 * @why: receives the limit that is exceeded, also if nothing can be closed
 *
 * A response that became ready a moment ago is not lost to make room for a
 * further connection; for memory it is, as the last choice, a quarter beyond
 * the limit.
 */
struct connection_entry *
connection_limits_excess(const struct connection_limits *limits,
                         int64_t now_ms, enum connection_excess *why);

/** connection_limits_longest_idle() - connection to close when descriptors
 * have run out, or NULL. */
struct connection_entry *
connection_limits_longest_idle(const struct connection_limits *limits,
                               int64_t now_ms);

/** connection_limits_refuse() - whether a request that is complete has to be
 * refused: the requests being served hold all memory. */
bool
connection_limits_refuse(const struct connection_limits *limits,
                         int64_t now_ms);

#endif
