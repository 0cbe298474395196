#include "egretd/registration.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"

enum {
    LEAVE_TIMEOUT_MS = 2000,
};

int64_t
registration_now(const struct registration *registration)
{
    return ms_clock_now(&registration->options.clock);
}

static void
registration_clear(void *data)
{
    struct registration *registration = data;
    members_destroy(registration->members);
    quorum_lease_destroy(registration->quorum_lease);
    members_record_destroy(registration->stored.proposal);
    g_hash_table_unref(registration->reclaims_started);
    g_free(registration->stored.deleting_renewal);
    g_free(registration->renewal.key);
    g_free(registration->incarnation);
}

/* Each pending store call holds a reference. */
static void
registration_unref(struct registration *registration)
{
    g_rc_box_release_full(registration, registration_clear);
}

static void
on_call_abandoned(void *ctx)
{
    registration_unref(ctx);
}

struct store_callback
registration_callback(struct registration *registration,
                      void (*done)(void *ctx,
                                   const struct store_result *result))
{
    g_rc_box_acquire(registration);
    return (struct store_callback){
        .done = done,
        .abandoned = on_call_abandoned,
        .ctx = registration,
    };
}

bool
registration_call_ended(struct registration *registration)
{
    bool closed = registration->closed;
    registration_unref(registration);
    return !closed;
}

/* A renewal proves that this incarnation has not been fenced, but not that its
 * configuration is the newest: that takes a read of the configuration, too. */
static void
apply_renewal(struct registration *registration)
{
    const struct registration_options *options = &registration->options;
    if (options->config_confirmed_ms(options->ctx) >=
        registration->config_confirm_after_ms) {
        quorum_lease_renewed(registration->quorum_lease,
                             registration->renewal.renewed_ms);
    }
}

static void
require_config_confirmation(struct registration *registration)
{
    registration->config_confirm_after_ms = registration_now(registration);
    registration->options.refresh_config(registration->options.ctx);
}

static void
report_lease(struct registration *registration)
{
    apply_renewal(registration);
    int64_t expires_ms = quorum_lease_expires_ms(registration->quorum_lease);
    if (expires_ms != registration->quorum_lease_expires_ms) {
        registration->quorum_lease_expires_ms = expires_ms;
        registration->options.listener.lease_changed(
            registration->options.listener.ctx, expires_ms);
    }
}

void
registration_fence(struct registration *registration)
{
    quorum_lease_fence(registration->quorum_lease);
    report_lease(registration);
    if (!registration->fenced_reported && !registration->leaving) {
        registration->fenced_reported = true;
        registration->options.listener.fenced(
            registration->options.listener.ctx);
    }
}

static void
report_members(struct registration *registration)
{
    const struct members_record *record =
        members_current(registration->members);
    struct gateway_member *members =
        g_new0(struct gateway_member, record->n_entries);
    for (size_t i = 0; i < record->n_entries; i++) {
        const struct members_entry *entry = &record->entries[i];
        members[i] = (struct gateway_member){
            .incarnation = entry->incarnation,
            .name = entry->name,
            .address = entry->address,
            .dc = entry->dc,
            .peer_port = entry->peer_port,
            .http_port = entry->http_port,
            .live = entry->state == MEMBERS_LIVE,
        };
    }
    registration->options.listener.members_changed(
        registration->options.listener.ctx, members, record->n_entries,
        record->epoch);
    g_free(members);
}

static void
update_voters(struct registration *registration)
{
    const struct members_record *record =
        members_current(registration->members);
    const char **voters = g_new0(const char *, record->n_entries);
    size_t n_voters = 0;
    for (size_t i = 0; i < record->n_entries; i++) {
        if (record->entries[i].state != MEMBERS_FENCED) {
            voters[n_voters++] = record->entries[i].incarnation;
        }
    }
    quorum_lease_set_voters(registration->quorum_lease, voters, n_voters);
    g_free(voters);
}

static struct message
make_heartbeat(struct registration *registration)
{
    int64_t now_ms = registration_now(registration);
    uint64_t number = ++registration->heartbeat_number;
    registration->heartbeat_sent_ms[number % HEARTBEATS_REMEMBERED] = now_ms;
    quorum_lease_granted(registration->quorum_lease, registration->incarnation,
                         now_ms);
    return (struct message){
        .type = MESSAGE_HEARTBEAT,
        .as.heartbeat = {.number = number,
                         .generation = registration->options.generation(
                             registration->options.ctx),
                         .epoch =
                             members_current(registration->members)->epoch},
    };
}

static void
broadcast_heartbeat(struct registration *registration)
{
    struct message heartbeat = make_heartbeat(registration);
    peers_broadcast(registration->options.peers, &heartbeat);
}

void
registration_peer_linked(struct registration *registration, const char *peer)
{
    struct message heartbeat = make_heartbeat(registration);
    peers_send(registration->options.peers, peer, &heartbeat);
}

void
registration_take_members(struct registration *registration,
                          const struct members_record *record)
{
    if (!members_update(registration->members, record,
                        registration_now(registration))) {
        return;
    }
    update_voters(registration);
    if (members_self_fenced(registration->members)) {
        registration_fence(registration);
    }
    report_members(registration);
    /* Acknowledges the new epoch to the peers without waiting for the next
     * heartbeat. */
    broadcast_heartbeat(registration);
}

static void
start_reclaims(struct registration *registration)
{
    const struct members_record *record =
        members_current(registration->members);
    int64_t lease_ms =
        registration->options.longest_task_lease_ms(registration->options.ctx);
    lease_ms = MAX(lease_ms, registration->renewal.lease_ms);
    for (size_t i = 0; i < record->n_entries; i++) {
        const char *incarnation = record->entries[i].incarnation;
        if (g_hash_table_contains(registration->reclaims_started,
                                  incarnation) ||
            !members_reclaimable(registration->members, incarnation, lease_ms,
                                 registration_now(registration))) {
            continue;
        }
        g_hash_table_add(registration->reclaims_started,
                         g_strdup(incarnation));
        log_line(LOG_LEVEL_INFO, "reclaim", "incarnation=%s",
                 log_quote(incarnation));
        registration->options.listener.reclaim_permits(
            registration->options.listener.ctx, incarnation);
    }
}

static void
update_counters(struct registration *registration)
{
    struct counters *counters = registration->options.counters;
    const struct members_record *record =
        members_current(registration->members);
    size_t n_live = 0;
    for (size_t i = 0; i < record->n_entries; i++) {
        n_live += record->entries[i].state == MEMBERS_LIVE;
    }
    counters_set(counters, "egret_members_epoch", NULL,
                 (int64_t)record->epoch);
    counters_set(counters, "egret_members", "state=\"live\"", (int64_t)n_live);
    counters_set(counters, "egret_members", "state=\"other\"",
                 (int64_t)(record->n_entries - n_live));
    counters_set(counters, "egret_standing", NULL,
                 registration->quorum_lease_expires_ms >
                     registration_now(registration));
}

void
registration_advance(struct registration *registration)
{
    if (registration->closed) {
        return;
    }
    report_lease(registration);
    bool removed = members_self_fenced(registration->members);
    if (removed && registration->leaving && !registration->renewal.deleting) {
        registration_renewal_delete(registration);
    }
    if (removed || registration->fenced_reported) {
        return;
    }
    registration_members_write(registration);
    start_reclaims(registration);
}

static gboolean
on_tick(void *ctx)
{
    struct registration *registration = ctx;
    int64_t now_ms = registration_now(registration);
    int64_t gap_ms = now_ms - registration->last_tick_ms;
    registration->last_tick_ms = now_ms;
    const struct registration_options *options = &registration->options;
    if (gap_ms >= options->settings->quorum_lease_ms / 2) {
        require_config_confirmation(registration);
    }
    else if (options->config_confirmed_ms(options->ctx) <
             registration->config_confirm_after_ms) {
        options->refresh_config(options->ctx);
    }
    broadcast_heartbeat(registration);
    if (!registration->fenced_reported) {
        registration_renewal_send(registration);
        registration_members_poll(registration);
    }
    if (members_renewal_reads_due(registration->members,
                                  registration_now(registration))) {
        registration_renewal_read_others(registration);
    }
    registration_advance(registration);
    update_counters(registration);
    return G_SOURCE_CONTINUE;
}

static void
send_members_record(struct registration *registration, const char *peer)
{
    const struct members_record *record =
        members_current(registration->members);
    struct message message = {
        .type = MESSAGE_MEMBERS,
        .as.members = {.epoch = record->epoch,
                       .record = members_json_format(record)},
    };
    peers_send(registration->options.peers, peer, &message);
    message_clear(&message);
}

static void
observe_peer(struct registration *registration, const char *peer,
             const struct message_heartbeat *heartbeat)
{
    members_peer_seen(registration->members, peer, heartbeat->epoch,
                      registration_now(registration));
    uint64_t generation =
        registration->options.generation(registration->options.ctx);
    if (heartbeat->generation > generation) {
        registration->options.newer_config(registration->options.ctx, peer);
    }
}

static void
on_heartbeat(struct registration *registration, const char *peer,
             const struct message_heartbeat *heartbeat)
{
    observe_peer(registration, peer, heartbeat);
    uint64_t epoch = members_current(registration->members)->epoch;
    struct message answer = {
        .type = MESSAGE_HEARTBEAT_ACK,
        .as.heartbeat = {.number = heartbeat->number,
                         .generation = registration->options.generation(
                             registration->options.ctx),
                         .epoch = epoch,
                         .grants_lease = members_grants_lease(
                             registration->members, peer, heartbeat->epoch)},
    };
    peers_send(registration->options.peers, peer, &answer);
    if (heartbeat->epoch < epoch) {
        send_members_record(registration, peer);
    }
    registration_advance(registration);
}

static void
on_heartbeat_ack(struct registration *registration, const char *peer,
                 const struct message_heartbeat *heartbeat)
{
    observe_peer(registration, peer, heartbeat);
    bool recent = heartbeat->number <= registration->heartbeat_number &&
                  registration->heartbeat_number - heartbeat->number <
                      HEARTBEATS_REMEMBERED;
    bool current = heartbeat->generation <=
                   registration->options.generation(registration->options.ctx);
    if (heartbeat->grants_lease && recent && current) {
        quorum_lease_granted(
            registration->quorum_lease, peer,
            registration->heartbeat_sent_ms[heartbeat->number %
                                            HEARTBEATS_REMEMBERED]);
    }
    registration_advance(registration);
}

static void
on_members_message(struct registration *registration,
                   const struct message_members *members)
{
    if (members->epoch <= members_current(registration->members)->epoch) {
        return;
    }
    struct status status;
    status_clear(&status);
    struct members_record *record =
        members_json_parse(members->record, strlen(members->record), &status);
    if (record == NULL) {
        return;
    }
    registration_take_members(registration, record);
    members_record_destroy(record);
    registration_advance(registration);
}

void
registration_handle_message(struct registration *registration,
                            const char *peer, const struct message *message)
{
    switch (message->type) {
    case MESSAGE_HEARTBEAT:
        on_heartbeat(registration, peer, &message->as.heartbeat);
        return;
    case MESSAGE_HEARTBEAT_ACK:
        on_heartbeat_ack(registration, peer, &message->as.heartbeat);
        return;
    case MESSAGE_MEMBERS:
        on_members_message(registration, &message->as.members);
        return;
    default:
        return;
    }
}

void
registration_peer_replaced(struct registration *registration,
                           const char *incarnation)
{
    members_process_ended(registration->members, incarnation,
                          registration_now(registration));
}

void
registration_permits_reclaimed(struct registration *registration,
                               const char *incarnation)
{
    members_reclaimed(registration->members, incarnation);
}

uint64_t
registration_epoch(const struct registration *registration)
{
    return members_current(registration->members)->epoch;
}

static struct members *
create_members(const struct registration_options *options)
{
    struct members_entry self = {
        .incarnation = (char *)options->incarnation,
        .name = options->settings->name,
        .address = options->settings->address,
        .dc = options->settings->dc,
        .peer_port = options->peer_port,
        .http_port = options->http_port,
    };
    return members_create(&(struct members_options){
        .self = &self,
        .quorum_lease_ms = options->settings->quorum_lease_ms,
        .fence_after_ms = options->settings->quorum_lease_ms,
    });
}

struct registration *
registration_create(const struct registration_options *options)
{
    struct registration *registration = g_rc_box_new0(struct registration);
    registration->options = *options;
    registration->incarnation = g_strdup(options->incarnation);
    registration->quorum_lease_expires_ms = INT64_MIN;
    registration->renewal.renewed_ms = INT64_MIN;
    registration->last_tick_ms = registration_now(registration);
    registration->members = create_members(options);
    registration->quorum_lease = quorum_lease_create(
        options->incarnation, options->settings->quorum_lease_ms);
    registration->reclaims_started =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    require_config_confirmation(registration);
    registration_renewal_start(registration);
    registration_members_start(registration);
    registration->tick = g_timeout_add((guint)options->settings->heartbeat_ms,
                                       on_tick, registration);
    return registration;
}

void
registration_destroy(struct registration *registration)
{
    if (registration == NULL) {
        return;
    }
    registration->closed = true;
    store_watch_destroy(registration->watch);
    g_source_remove(registration->tick);
    if (registration->leave_timer != 0) {
        g_source_remove(registration->leave_timer);
    }
    registration_unref(registration);
}

void
registration_leave_finished(struct registration *registration)
{
    if (registration->leave_timer != 0) {
        g_source_remove(registration->leave_timer);
        registration->leave_timer = 0;
    }
    void (*leave_done)(void *ctx) = registration->leave_done;
    registration->leave_done = NULL;
    if (leave_done != NULL) {
        leave_done(registration->leave_ctx);
    }
}

static gboolean
on_leave_timeout(void *ctx)
{
    struct registration *registration = ctx;
    registration->leave_timer = 0;
    log_line(LOG_LEVEL_WARN, "leave-late", "incarnation=%s",
             registration->incarnation);
    registration_leave_finished(registration);
    return G_SOURCE_REMOVE;
}

void
registration_leave(struct registration *registration, void (*done)(void *ctx),
                   void *ctx)
{
    registration->leaving = true;
    registration->leave_done = done;
    registration->leave_ctx = ctx;
    members_leave(registration->members);
    registration_fence(registration);
    registration->leave_timer =
        g_timeout_add(LEAVE_TIMEOUT_MS, on_leave_timeout, registration);
    if (members_self_live(registration->members) ||
        registration->stored.write_pending) {
        registration_advance(registration);
        return;
    }
    registration_leave_finished(registration);
}
