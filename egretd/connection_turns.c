/* Lets the main loop turn between the pieces of a body. */
#include "connections_internal.h"

enum {
    /* libsoup reads on for as long as it finds data, so that a client that
     * sends faster than it reads would hold the main loop. */
    PIECES_PER_TURN = 64,
    RESUMED_PER_TURN = 16,
};

static gboolean
on_resume(void *data)
{
    struct connections *connections = data;
    for (int i = 0; i < RESUMED_PER_TURN; i++) {
        struct connection *connection =
            g_queue_peek_head(&connections->paused);
        if (connection == NULL) {
            connections->resume_source = 0;
            return G_SOURCE_REMOVE;
        }
        connection_resume(connection);
    }
    return G_SOURCE_CONTINUE;
}

void
connection_note_piece(struct connection *connection,
                      SoupServerMessage *message)
{
    struct connections *owner = connection->owner;
    connection->pieces++;
    if (connection->pieces < PIECES_PER_TURN || connection->in_queue) {
        return;
    }
    connection->pieces = 0;
    connection->in_queue = true;
    g_set_weak_pointer(&connection->paused, message);
    g_queue_push_tail(&owner->paused, connection);
    soup_server_message_pause(message);
    if (owner->resume_source == 0) {
        owner->resume_source =
            g_idle_add_full(G_PRIORITY_DEFAULT, on_resume, owner, NULL);
    }
}

void
connection_resume(struct connection *connection)
{
    if (!connection->in_queue) {
        return;
    }
    SoupServerMessage *message = connection->paused;
    g_queue_remove(&connection->owner->paused, connection);
    connection->in_queue = false;
    g_clear_weak_pointer(&connection->paused);
    if (message != NULL) {
        soup_server_message_unpause(message);
    }
}
