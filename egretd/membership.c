#include "egretd/membership.h"

#include <string.h>

#include "common/log.h"
#include "egretd/permit_accounts.h"
#include "egretd/usage_report.h"

enum {
    /* Heartbeats that a peer may miss before its link is dropped; about as
     * long as a quorum lease lasts. */
    IDLE_TIMEOUT_HEARTBEATS = 4,
};

struct membership {
    struct membership_options options;
    char *incarnation;
    struct peers *peers;
    struct registration *registration;
    struct permit_accounts *accounts;
    struct usage_report *usage;
    GArray *members;
    uint64_t epoch;
    int64_t quorum_lease_expires_ms;
    guint tick;
    void (*leave_done)(void *ctx);
    void *leave_ctx;
};

static struct dispatch *
dispatch_of(struct membership *membership)
{
    return engine_dispatch(membership->options.engine);
}

static void
clear_member(void *data)
{
    struct gateway_member *member = data;
    g_free(member->incarnation);
    g_free(member->name);
    g_free(member->address);
    g_free(member->dc);
}

static void
copy_members(struct membership *membership,
             const struct gateway_member *members, size_t n_members)
{
    g_array_set_size(membership->members, 0);
    for (size_t i = 0; i < n_members; i++) {
        struct gateway_member copy = members[i];
        copy.incarnation = g_strdup(members[i].incarnation);
        copy.name = g_strdup(members[i].name);
        copy.address = g_strdup(members[i].address);
        copy.dc = g_strdup(members[i].dc);
        g_array_append_val(membership->members, copy);
    }
}

static void
link_peers(struct membership *membership)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(struct peer_address));
    for (guint i = 0; i < membership->members->len; i++) {
        struct gateway_member *member =
            &g_array_index(membership->members, struct gateway_member, i);
        struct peer_address address = {
            .incarnation = member->incarnation,
            .address = member->address,
            .port = member->peer_port,
        };
        g_array_append_val(addresses, address);
    }
    peers_set_members(membership->peers,
                      (struct peer_address *)(void *)addresses->data,
                      addresses->len);
    g_array_unref(addresses);
}

static void
on_members(void *ctx, const struct gateway_member *members, size_t n_members,
           uint64_t epoch)
{
    struct membership *membership = ctx;
    copy_members(membership, members, n_members);
    membership->epoch = epoch;
    link_peers(membership);
    engine_set_members(membership->options.engine, members, n_members, epoch);
    if (membership->accounts != NULL) {
        permit_accounts_set_members(membership->accounts, members, n_members);
    }
    log_line(LOG_LEVEL_INFO, "members",
             "epoch=%" G_GUINT64_FORMAT " count=%zu", epoch, n_members);
}

static void
on_lease_changed(void *ctx, int64_t expires_ms)
{
    struct membership *membership = ctx;
    bool lost = expires_ms < membership->quorum_lease_expires_ms;
    int64_t now_ms = ms_clock_now(&membership->options.clock);
    bool gained =
        membership->quorum_lease_expires_ms <= now_ms && expires_ms > now_ms;
    membership->quorum_lease_expires_ms = expires_ms;
    dispatch_set_quorum_lease(dispatch_of(membership), expires_ms);
    if (lost || gained) {
        log_line(LOG_LEVEL_INFO, "standing", "until_in_ms=%" G_GINT64_FORMAT,
                 MAX(expires_ms, now_ms) - now_ms);
        engine_run_actions(membership->options.engine);
    }
}

static void
on_fenced(void *ctx)
{
    struct membership *membership = ctx;
    dispatch_set_quorum_lease(dispatch_of(membership), INT64_MIN);
    log_line(LOG_LEVEL_WARN, "fenced", "incarnation=%s",
             membership->incarnation);
    membership->options.fenced(membership->options.ctx);
}

static uint64_t
on_generation(void *ctx)
{
    struct membership *membership = ctx;
    return config_feed_generation(membership->options.feed);
}

static void
on_newer_config(void *ctx, const char *peer)
{
    struct membership *membership = ctx;
    struct message message = {
        .type = MESSAGE_CONFIG_PULL,
        .as.config_pull.have_generation =
            config_feed_generation(membership->options.feed),
    };
    peers_send(membership->peers, peer, &message);
}

static void
on_refresh_config(void *ctx)
{
    struct membership *membership = ctx;
    config_feed_refresh(membership->options.feed);
}

static int64_t
on_config_confirmed_ms(void *ctx)
{
    struct membership *membership = ctx;
    return config_feed_confirmed_ms(membership->options.feed);
}

static int64_t
on_longest_task_lease_ms(void *ctx)
{
    struct membership *membership = ctx;
    const struct config *config =
        config_feed_current(membership->options.feed);
    int64_t longest_ms = 0;
    for (size_t i = 0; config != NULL && i < config->n_queues; i++) {
        longest_ms = MAX(longest_ms, config->queues[i].max_run_ms);
    }
    return longest_ms;
}

static void
send_config(struct membership *membership, const char *peer,
            uint64_t have_generation)
{
    struct message message;
    if (config_feed_generation(membership->options.feed) <= have_generation ||
        !config_feed_make_message(membership->options.feed, have_generation,
                                  &message)) {
        return;
    }
    if (peer == NULL) {
        peers_broadcast(membership->peers, &message);
    }
    else {
        peers_send(membership->peers, peer, &message);
    }
    message_clear(&message);
}

static void
on_message(void *ctx, const char *peer, const struct message *message)
{
    struct membership *membership = ctx;
    switch (message->type) {
    case MESSAGE_HEARTBEAT:
    case MESSAGE_HEARTBEAT_ACK:
    case MESSAGE_MEMBERS:
        registration_handle_message(membership->registration, peer, message);
        return;
    case MESSAGE_CONFIG:
        config_feed_offer(membership->options.feed, &message->as.config);
        return;
    case MESSAGE_CONFIG_PULL:
        send_config(membership, peer, message->as.config_pull.have_generation);
        return;
    case MESSAGE_USAGE:
        usage_report_received(membership->usage, peer, &message->as.usage);
        return;
    case MESSAGE_PERMIT_REQUEST:
        permit_accounts_handle_request(membership->accounts, peer, message);
        return;
    default:
        return;
    }
}

static void
on_up(void *ctx, const char *peer)
{
    struct membership *membership = ctx;
    registration_peer_linked(membership->registration, peer);
}

static void
on_replaced(void *ctx, const char *incarnation)
{
    struct membership *membership = ctx;
    registration_peer_replaced(membership->registration, incarnation);
}

static void
on_reclaimed(void *ctx, const char *incarnation)
{
    struct membership *membership = ctx;
    registration_permits_reclaimed(membership->registration, incarnation);
}

static void
on_reclaim(void *ctx, const char *incarnation)
{
    struct membership *membership = ctx;
    permit_accounts_reclaim(membership->accounts, incarnation, on_reclaimed,
                            membership);
}

static void
on_down(void *ctx, const char *peer)
{
    struct membership *membership = ctx;
    dispatch_peer_removed(dispatch_of(membership), peer);
}

static uint32_t
on_running(void *ctx, const char *team)
{
    struct membership *membership = ctx;
    return dispatch_team_running(dispatch_of(membership), team);
}

static uint32_t
on_queued(void *ctx, const char *team)
{
    struct membership *membership = ctx;
    return dispatch_team_queued(dispatch_of(membership), team);
}

static void
on_permits(void *ctx, const char *team, uint32_t permits)
{
    struct membership *membership = ctx;
    dispatch_set_permits(dispatch_of(membership), team, permits);
    engine_run_actions(membership->options.engine);
}

static gboolean
on_tick(void *data)
{
    struct membership *membership = data;
    permit_accounts_tick(membership->accounts);
    return G_SOURCE_CONTINUE;
}

static void
create_registration(struct membership *membership)
{
    const struct membership_options *options = &membership->options;
    membership->registration =
        registration_create(&(struct registration_options){
            .settings = options->settings,
            .store = options->store,
            .peers = membership->peers,
            .counters = options->counters,
            .clock = options->clock,
            .incarnation = membership->incarnation,
            .peer_port = peers_port(membership->peers),
            .http_port = options->http_port,
            .generation = on_generation,
            .newer_config = on_newer_config,
            .refresh_config = on_refresh_config,
            .config_confirmed_ms = on_config_confirmed_ms,
            .longest_task_lease_ms = on_longest_task_lease_ms,
            .ctx = membership,
            .listener =
                {
                    .lease_changed = on_lease_changed,
                    .members_changed = on_members,
                    .fenced = on_fenced,
                    .reclaim_permits = on_reclaim,
                    .ctx = membership,
                },
        });
}

static void
create_permit_accounts(struct membership *membership)
{
    const struct membership_options *options = &membership->options;
    membership->accounts =
        permit_accounts_create(&(struct permit_accounts_options){
            .store = options->store,
            .peers = membership->peers,
            .counters = options->counters,
            .clock = options->clock,
            .incarnation = membership->incarnation,
            .running = on_running,
            .queued = on_queued,
            .set_permits = on_permits,
            .ctx = membership,
        });
    const struct config *config = config_feed_current(options->feed);
    if (config != NULL) {
        permit_accounts_set_config(membership->accounts, config);
    }
}

struct membership *
membership_create(const struct membership_options *options,
                  struct status *status)
{
    struct membership *membership = g_new0(struct membership, 1);
    membership->options = *options;
    membership->quorum_lease_expires_ms = INT64_MIN;
    membership->incarnation = g_strdup(options->incarnation);
    membership->members =
        g_array_new(FALSE, TRUE, sizeof(struct gateway_member));
    g_array_set_clear_func(membership->members, clear_member);
    membership->peers = peers_create(
        &(struct peers_options){
            .address = options->settings->address,
            .port = options->settings->peer_port,
            .secret = options->secret,
            .incarnation = membership->incarnation,
            .name = options->settings->name,
            .idle_timeout_ms =
                options->settings->heartbeat_ms * IDLE_TIMEOUT_HEARTBEATS,
            .clock = options->clock,
            .handler =
                {
                    .message = on_message,
                    .up = on_up,
                    .down = on_down,
                    .replaced = on_replaced,
                    .ctx = membership,
                },
        },
        status);
    if (membership->peers == NULL) {
        membership_destroy(membership);
        return NULL;
    }
    membership->usage = usage_report_create(&(struct usage_report_options){
        .engine = options->engine,
        .peers = membership->peers,
        .clock = options->clock,
    });
    create_permit_accounts(membership);
    create_registration(membership);
    membership->tick = g_timeout_add((guint)options->settings->heartbeat_ms,
                                     on_tick, membership);
    return membership;
}

void
membership_destroy(struct membership *membership)
{
    if (membership == NULL) {
        return;
    }
    if (membership->tick != 0) {
        g_source_remove(membership->tick);
    }
    registration_destroy(membership->registration);
    permit_accounts_destroy(membership->accounts);
    usage_report_destroy(membership->usage);
    peers_destroy(membership->peers);
    g_array_unref(membership->members);
    g_free(membership->incarnation);
    g_free(membership);
}

void
membership_set_config(struct membership *membership,
                      const struct config *config)
{
    permit_accounts_set_config(membership->accounts, config);
    /* Peers that lack more than one generation request it after the next
     * heartbeat. */
    send_config(membership, NULL, config->generation - 1);
}

bool
membership_find_peer(const struct membership *membership, const char *peer,
                     struct forward_target *target)
{
    for (guint i = 0; i < membership->members->len; i++) {
        const struct gateway_member *member =
            &g_array_index(membership->members, struct gateway_member, i);
        if (member->live && g_str_equal(member->incarnation, peer)) {
            g_snprintf(target->address, sizeof(target->address), "%s:%u",
                       member->address, member->http_port);
            return true;
        }
    }
    return false;
}

int64_t
membership_quorum_lease_expires_ms(const struct membership *membership)
{
    return membership->quorum_lease_expires_ms;
}

const char *
membership_incarnation(const struct membership *membership)
{
    return membership->incarnation;
}

const struct gateway_member *
membership_members(const struct membership *membership, size_t *n_members,
                   uint64_t *epoch)
{
    *n_members = membership->members->len;
    *epoch = membership->epoch;
    return (const struct gateway_member *)(void *)membership->members->data;
}

struct peers_stats
membership_peers_stats(const struct membership *membership)
{
    return peers_get_stats(membership->peers);
}

static void
on_released(void *ctx)
{
    struct membership *membership = ctx;
    registration_leave(membership->registration, membership->leave_done,
                       membership->leave_ctx);
}

void
membership_leave(struct membership *membership, void (*done)(void *ctx),
                 void *ctx)
{
    membership->leave_done = done;
    membership->leave_ctx = ctx;
    permit_accounts_release(membership->accounts, on_released, membership);
}
