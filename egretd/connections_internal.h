/* What the files of the connections share. */
#ifndef EGRETD_CONNECTIONS_INTERNAL_H
#define EGRETD_CONNECTIONS_INTERNAL_H

#include "core/connection_eviction.h"
#include "egretd/connections.h"

#define CONNECTION_DATA "egret-connection"

enum close_reason {
    CLOSE_ROOM,
    CLOSE_FULL,
    CLOSE_DESCRIPTORS,
    CLOSE_MEMORY,
    CLOSE_TIMEOUT,
    CLOSE_BODY_TOO_LARGE,
    CLOSE_REASON_COUNT,
};

struct close_log {
    int64_t logged_ms;
    uint32_t unlogged;
};

/* One epoll descriptor for all connections: the main loop checks each of its
 * sources in every iteration, which is slow with hundreds of them. */
struct connections {
    struct connections_options options;
    GPtrArray *open;
    GSocket *listener;
    int64_t held_bytes;
    /* Part of it in bodies whose length was not announced. */
    int64_t unsized_bytes;
    /* Largest body that was refused for memory. */
    int64_t wanted_bytes;
    uint32_t open_max;
    /* Since the check of the listener that polled_source belongs to. */
    bool accepted;
    /* New connections with this descriptor or a higher one need room. */
    int descriptors_max;
    int epoll_fd;
    guint event_source;
    guint sweep_source;
    guint relief_source;
    guint polled_source;
    guint resume_source;
    /* Connections that wait for their next turn. */
    GQueue paused;
    struct close_log logs[CLOSE_REASON_COUNT];
};

/**
 * struct connection - owned by its socket
 * @owner: NULL once it is closed
 * @socket: not a reference; NULL once it is closed
 * @body_bytes: body of the request that is in memory or will be
 * @body_received_bytes: what has come of the body, also if it was not kept
 * @body: what has come of the body; NULL before its first byte
 * @body_dropped: the body is read but not kept
 * @body_refused: for lack of memory
 * @response_bytes: response that the client has not read
 * @tcp_received_bytes: bytes received before the request
 * @pieces: pieces of a body that were read in this turn
 * @in_queue: its message is paused until its next turn
 * @paused: that message; not a reference, NULL once it is freed
 * @response_ready: the client has to read a response
 * @streaming: the response is made piece by piece
 */
struct connection {
    struct connections *owner;
    GSocket *socket;
    struct connection_facts facts;
    int64_t body_bytes;
    int64_t body_received_bytes;
    GByteArray *body;
    bool body_dropped;
    bool body_refused;
    int64_t response_bytes;
    uint64_t tcp_received_bytes;
    uint32_t pieces;
    bool in_queue;
    SoupServerMessage *paused;
    bool response_ready;
    bool streaming;
    void (*hang_up)(void *ctx);
    void *ctx;
};

/** connections_evict() - close a connection and count why. */
void
connections_evict(struct connections *connections,
                  struct connection *connection, enum close_reason reason);

/** connections_schedule_relief() - free memory from the main loop. */
void
connections_schedule_relief(struct connections *connections);

/** connection_track() - follow the requests of one connection. */
void
connection_track(struct connection *connection, SoupServerMessage *message);

/** connection_note_piece() - a piece of a body has been read; pauses @message
 * until the connection's next turn after a number of them. */
void
connection_note_piece(struct connection *connection,
                      SoupServerMessage *message);

/** connection_resume() - end the wait for the next turn, if it waits. */
void
connection_resume(struct connection *connection);

/** connections_drop_unsized() - drop bodies without an announced length, the
 * longest first, until the others are within their part of the memory. */
void
connections_drop_unsized(struct connections *connections);

/** connection_refuse_body() - drop the body for lack of memory. */
void
connection_refuse_body(struct connection *connection);

/** connection_clear_body() - free what has come of the body. */
void
connection_clear_body(struct connection *connection);

/** connection_find() - open connection of @message, or NULL. */
struct connection *
connection_find(SoupServerMessage *message);

/** connection_received_bytes() - bytes that TCP has received so far. */
uint64_t
connection_received_bytes(const struct connection *connection);

#endif
