#include "egretd/registration.h"

#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "members_json.h"
#include "registration_internal.h"

enum {
    LEAVE_MAX_MS = 2000,
};

int64_t
standing_now(const struct standing *standing)
{
    return ms_clock_now(&standing->options.clock);
}

static void
standing_clear(void *data)
{
    struct standing *standing = data;
    members_destroy(standing->members);
    freshness_destroy(standing->freshness);
    members_record_destroy(standing->record.proposal);
    g_hash_table_unref(standing->handed);
    g_free(standing->record.clearing);
    g_free(standing->renewal.key);
    g_free(standing->incarnation);
}

/* Each call to the store that is under way keeps the standing. */
static void
standing_unref(struct standing *standing)
{
    g_rc_box_release_full(standing, standing_clear);
}

static void
on_dropped(void *ctx)
{
    standing_unref(ctx);
}

struct store_callback
standing_callback(struct standing *standing,
                  void (*done)(void *ctx, const struct store_result *result))
{
    g_rc_box_acquire(standing);
    return (struct store_callback){
        .done = done,
        .abandoned = on_dropped,
        .ctx = standing,
    };
}

bool
standing_call_ended(struct standing *standing)
{
    bool closed = standing->closed;
    standing_unref(standing);
    return !closed;
}

/* A renewal shows that nobody has fenced this incarnation, not that its
 * configuration is still the newest. */
static void
count_renewal(struct standing *standing)
{
    const struct standing_options *options = &standing->options;
    if (options->confirmed_ms(options->ctx) >= standing->confirm_ms) {
        freshness_renewed(standing->freshness, standing->renewal.renewed_ms);
    }
}

static void
require_confirmation(struct standing *standing)
{
    standing->confirm_ms = standing_now(standing);
    standing->options.refresh(standing->options.ctx);
}

static void
tell_until(struct standing *standing)
{
    count_renewal(standing);
    int64_t until_ms = freshness_until_ms(standing->freshness);
    if (until_ms != standing->until_ms) {
        standing->until_ms = until_ms;
        standing->options.listener.until(standing->options.listener.ctx,
                                         until_ms);
    }
}

void
standing_fence(struct standing *standing)
{
    freshness_fence(standing->freshness);
    tell_until(standing);
    if (!standing->told_fenced && !standing->leaving) {
        standing->told_fenced = true;
        standing->options.listener.fenced(standing->options.listener.ctx);
    }
}

static void
tell_members(struct standing *standing)
{
    const struct members_record *record = members_current(standing->members);
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
    standing->options.listener.members(standing->options.listener.ctx, members,
                                       record->n_entries, record->epoch);
    g_free(members);
}

static void
follow_voters(struct standing *standing)
{
    const struct members_record *record = members_current(standing->members);
    const char **voters = g_new0(const char *, record->n_entries);
    size_t n_voters = 0;
    for (size_t i = 0; i < record->n_entries; i++) {
        if (record->entries[i].state != MEMBERS_FENCED) {
            voters[n_voters++] = record->entries[i].incarnation;
        }
    }
    freshness_set_voters(standing->freshness, voters, n_voters);
    g_free(voters);
}

static struct message
make_beat(struct standing *standing)
{
    int64_t now_ms = standing_now(standing);
    uint64_t number = ++standing->beat_number;
    standing->beat_asked_ms[number % BEATS_KEPT] = now_ms;
    freshness_supported(standing->freshness, standing->incarnation, now_ms);
    return (struct message){
        .type = MESSAGE_BEAT,
        .as.beat = {.number = number,
                    .generation =
                        standing->options.generation(standing->options.ctx),
                    .epoch = members_current(standing->members)->epoch},
    };
}

static void
send_beats(struct standing *standing)
{
    struct message beat = make_beat(standing);
    peers_broadcast(standing->options.peers, &beat);
}

void
standing_linked(struct standing *standing, const char *peer)
{
    struct message beat = make_beat(standing);
    peers_send(standing->options.peers, peer, &beat);
}

void
standing_take(struct standing *standing, const struct members_record *record)
{
    if (!members_take(standing->members, record, standing_now(standing))) {
        return;
    }
    follow_voters(standing);
    if (members_fenced(standing->members)) {
        standing_fence(standing);
    }
    tell_members(standing);
    /* Peers learn at once that this gateway knows the new epoch. */
    send_beats(standing);
}

static void
hand_over_reclaims(struct standing *standing)
{
    const struct members_record *record = members_current(standing->members);
    int64_t lease_ms =
        standing->options.longest_lease_ms(standing->options.ctx);
    lease_ms = MAX(lease_ms, standing->renewal.lease_ms);
    for (size_t i = 0; i < record->n_entries; i++) {
        const char *incarnation = record->entries[i].incarnation;
        if (g_hash_table_contains(standing->handed, incarnation) ||
            !members_reclaimable(standing->members, incarnation, lease_ms,
                                 standing_now(standing))) {
            continue;
        }
        g_hash_table_add(standing->handed, g_strdup(incarnation));
        log_line(LOG_LEVEL_INFO, "reclaim", "incarnation=%s",
                 log_quote(incarnation));
        standing->options.listener.reclaim(standing->options.listener.ctx,
                                           incarnation);
    }
}

static void
tell_counters(struct standing *standing)
{
    struct counters *counters = standing->options.counters;
    const struct members_record *record = members_current(standing->members);
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
                 standing->until_ms > standing_now(standing));
}

void
standing_advance(struct standing *standing)
{
    if (standing->closed) {
        return;
    }
    tell_until(standing);
    bool gone = members_fenced(standing->members);
    if (gone && standing->leaving && !standing->renewal.deleting) {
        standing_renewal_delete(standing);
    }
    if (gone || standing->told_fenced) {
        return;
    }
    standing_record_write(standing);
    hand_over_reclaims(standing);
}

static gboolean
on_tick(void *ctx)
{
    struct standing *standing = ctx;
    int64_t now_ms = standing_now(standing);
    int64_t gap_ms = now_ms - standing->ticked_ms;
    standing->ticked_ms = now_ms;
    const struct standing_options *options = &standing->options;
    if (gap_ms >= options->settings->support_ms / 2) {
        require_confirmation(standing);
    }
    else if (options->confirmed_ms(options->ctx) < standing->confirm_ms) {
        options->refresh(options->ctx);
    }
    send_beats(standing);
    if (!standing->told_fenced) {
        standing_renewal_send(standing);
        standing_record_poll(standing);
    }
    if (members_unheard(standing->members, standing_now(standing))) {
        standing_renewal_read_others(standing);
    }
    standing_advance(standing);
    tell_counters(standing);
    return G_SOURCE_CONTINUE;
}

static void
push_record(struct standing *standing, const char *peer)
{
    const struct members_record *record = members_current(standing->members);
    struct message message = {
        .type = MESSAGE_MEMBERS,
        .as.members = {.epoch = record->epoch,
                       .record = members_json_format(record)},
    };
    peers_send(standing->options.peers, peer, &message);
    message_clear(&message);
}

static void
note_peer(struct standing *standing, const char *peer,
          const struct message_beat *beat)
{
    members_heard(standing->members, peer, beat->epoch,
                  standing_now(standing));
    uint64_t generation = standing->options.generation(standing->options.ctx);
    if (beat->generation > generation) {
        standing->options.newer(standing->options.ctx, peer);
    }
}

static void
on_beat(struct standing *standing, const char *peer,
        const struct message_beat *beat)
{
    note_peer(standing, peer, beat);
    uint64_t epoch = members_current(standing->members)->epoch;
    struct message answer = {
        .type = MESSAGE_BEAT_ACK,
        .as.beat = {.number = beat->number,
                    .generation =
                        standing->options.generation(standing->options.ctx),
                    .epoch = epoch,
                    .supports = members_supports(standing->members, peer,
                                                 beat->epoch)},
    };
    peers_send(standing->options.peers, peer, &answer);
    if (beat->epoch < epoch) {
        push_record(standing, peer);
    }
    standing_advance(standing);
}

static void
on_beat_ack(struct standing *standing, const char *peer,
            const struct message_beat *beat)
{
    note_peer(standing, peer, beat);
    bool recent = beat->number <= standing->beat_number &&
                  standing->beat_number - beat->number < BEATS_KEPT;
    bool current = beat->generation <=
                   standing->options.generation(standing->options.ctx);
    if (beat->supports && recent && current) {
        freshness_supported(
            standing->freshness, peer,
            standing->beat_asked_ms[beat->number % BEATS_KEPT]);
    }
    standing_advance(standing);
}

static void
on_pushed_record(struct standing *standing,
                 const struct message_members *members)
{
    if (members->epoch <= members_current(standing->members)->epoch) {
        return;
    }
    struct status status;
    status_clear(&status);
    struct members_record *record =
        members_json_parse(members->record, strlen(members->record), &status);
    if (record == NULL) {
        return;
    }
    standing_take(standing, record);
    members_record_destroy(record);
    standing_advance(standing);
}

void
standing_message(struct standing *standing, const char *peer,
                 const struct message *message)
{
    switch (message->type) {
    case MESSAGE_BEAT:
        on_beat(standing, peer, &message->as.beat);
        return;
    case MESSAGE_BEAT_ACK:
        on_beat_ack(standing, peer, &message->as.beat);
        return;
    case MESSAGE_MEMBERS:
        on_pushed_record(standing, &message->as.members);
        return;
    default:
        return;
    }
}

void
standing_replaced(struct standing *standing, const char *incarnation)
{
    members_ended(standing->members, incarnation, standing_now(standing));
}

void
standing_reclaimed(struct standing *standing, const char *incarnation)
{
    members_reclaimed(standing->members, incarnation);
}

uint64_t
standing_epoch(const struct standing *standing)
{
    return members_current(standing->members)->epoch;
}

static struct members *
create_members(const struct standing_options *options)
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
        .support_ms = options->settings->support_ms,
        .silent_ms = options->settings->support_ms,
    });
}

struct standing *
standing_create(const struct standing_options *options)
{
    struct standing *standing = g_rc_box_new0(struct standing);
    standing->options = *options;
    standing->incarnation = g_strdup(options->incarnation);
    standing->until_ms = INT64_MIN;
    standing->renewal.renewed_ms = INT64_MIN;
    standing->ticked_ms = standing_now(standing);
    standing->members = create_members(options);
    standing->freshness =
        freshness_create(options->incarnation, options->settings->support_ms);
    standing->handed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    require_confirmation(standing);
    standing_renewal_start(standing);
    standing_record_start(standing);
    standing->tick = g_timeout_add((guint)options->settings->heartbeat_ms,
                                   on_tick, standing);
    return standing;
}

void
standing_destroy(struct standing *standing)
{
    if (standing == NULL) {
        return;
    }
    standing->closed = true;
    store_watch_destroy(standing->watch);
    g_source_remove(standing->tick);
    if (standing->leave_timer != 0) {
        g_source_remove(standing->leave_timer);
    }
    standing_unref(standing);
}

void
standing_left(struct standing *standing)
{
    if (standing->leave_timer != 0) {
        g_source_remove(standing->leave_timer);
        standing->leave_timer = 0;
    }
    void (*left)(void *ctx) = standing->left;
    standing->left = NULL;
    if (left != NULL) {
        left(standing->left_ctx);
    }
}

static gboolean
on_leave_late(void *ctx)
{
    struct standing *standing = ctx;
    standing->leave_timer = 0;
    log_line(LOG_LEVEL_WARN, "leave-late", "incarnation=%s",
             standing->incarnation);
    standing_left(standing);
    return G_SOURCE_REMOVE;
}

void
standing_leave(struct standing *standing, void (*done)(void *ctx), void *ctx)
{
    standing->leaving = true;
    standing->left = done;
    standing->left_ctx = ctx;
    members_leave(standing->members);
    standing_fence(standing);
    standing->leave_timer =
        g_timeout_add(LEAVE_MAX_MS, on_leave_late, standing);
    if (members_live(standing->members) || standing->record.busy) {
        standing_advance(standing);
        return;
    }
    standing_left(standing);
}
