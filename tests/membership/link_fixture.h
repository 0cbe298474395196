/* Peer links between gateways within one test process. */
#ifndef TESTS_MEMBERSHIP_LINK_FIXTURE_H
#define TESTS_MEMBERSHIP_LINK_FIXTURE_H

#include <gio/gio.h>

#include "egretd/peers.h"
#include "wait.h"

/** struct node - one gateway with counts of its link events */
struct node {
    struct peers *peers;
    const char *incarnation;
    uint32_t n_heartbeats;
    uint32_t n_up;
    uint32_t n_down;
    char *replaced;
};

static void
node_message(void *ctx, const char *incarnation, const struct message *message)
{
    struct node *node = ctx;
    node->n_heartbeats += message->type == MESSAGE_HEARTBEAT;
}

static void
node_up(void *ctx, const char *incarnation)
{
    struct node *node = ctx;
    node->n_up++;
}

static void
node_down(void *ctx, const char *incarnation)
{
    struct node *node = ctx;
    node->n_down++;
}

static void
node_replaced(void *ctx, const char *incarnation)
{
    struct node *node = ctx;
    node->replaced = g_strdup(incarnation);
}

static void
node_start(struct node *node, const char *incarnation, const char *secret,
           uint16_t port, int64_t idle_timeout_ms)
{
    struct status status;
    status_clear(&status);
    *node = (struct node){.incarnation = incarnation};
    node->peers = peers_create(
        &(struct peers_options){
            .address = "127.0.0.1",
            .port = port,
            .secret = secret,
            .incarnation = incarnation,
            .name = incarnation,
            .idle_timeout_ms = idle_timeout_ms,
            .clock = ms_clock_system(),
            .handler = {.message = node_message,
                        .up = node_up,
                        .down = node_down,
                        .replaced = node_replaced,
                        .ctx = node},
        },
        &status);
}

static void
node_stop(struct node *node)
{
    peers_destroy(node->peers);
    g_free(node->replaced);
    *node = (struct node){0};
}

/* Sets @a and @b as the two members of the fleet. */
static void
node_set_members(struct node *node, const char *a, uint16_t a_port,
                 const char *b, uint16_t b_port)
{
    struct peer_address members[] = {{a, "127.0.0.1", a_port},
                                     {b, "127.0.0.1", b_port}};
    peers_set_members(node->peers, members, 2);
}

static void
node_send_heartbeat(struct node *node)
{
    peers_broadcast(node->peers, &(struct message){.type = MESSAGE_HEARTBEAT});
}

#endif
