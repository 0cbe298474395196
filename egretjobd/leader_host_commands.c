/*
 * Queue of commands about hosts. Two leaders must not send commands about the
 * same host within a short time. The hosts are therefore stored before the
 * commands are sent, and a new leader delays its commands for these hosts
 * only.
 */
#include "leader_state.h"

#include <string.h>

#include "common/event_log.h"
#include "egretjobd/leadership.h"
#include "egretjobd/recent_hosts.h"
#include "egretjobd/records.h"

enum {
    /* A host stays in the record this much longer than the time in which two
     * leaders must not both send commands about it. */
    RECORD_MARGIN_MS = 1000,
    /* A command of a previous leader may be carried out this late. */
    RECORD_INHERITED_MS = 10000,
    WRITE_TIMEOUT_MS = 1200,
};

/**
 * struct queued_host_command - a command whose host is not recorded yet
 * @pool: pool to move the host to; NULL for a reboot
 * @wave: maintenance wave of the reboot; 0 for a move
 */
struct queued_host_command {
    char *host;
    char *pool;
    int64_t wave;
};

/**
 * struct host_commands - commands to send, and hosts of recent commands
 * @queue: struct queued_host_command
 * @recorded: length of the head of the queue that the open write covers
 * @recent: hosts that stay in the record
 * @revision: revision of the record; 0: there is none
 */
struct host_commands {
    struct leader *leader;
    struct committer *committer;
    GPtrArray *queue;
    guint recorded;
    struct recent_hosts *recent;
    int64_t revision;
    bool writing;
};

static void
queued_host_command_free(void *data)
{
    struct queued_host_command *command = data;
    g_free(command->host);
    g_free(command->pool);
    g_free(command);
}

struct host_commands *
host_commands_create(struct leader *leader)
{
    struct host_commands *commands = g_new0(struct host_commands, 1);
    struct node *node = leader->node;
    commands->leader = leader;
    commands->committer =
        committer_create(node->base, node->settings->store_address,
                         WRITE_TIMEOUT_MS, store_route_any(node->store_route));
    commands->queue = g_ptr_array_new_with_free_func(queued_host_command_free);
    commands->recent = recent_hosts_create();
    return commands;
}

void
host_commands_destroy(struct host_commands *commands)
{
    committer_destroy(commands->committer);
    g_ptr_array_unref(commands->queue);
    recent_hosts_destroy(commands->recent);
    g_free(commands);
}

bool
host_commands_allowed(void *ctx)
{
    struct leader *leader = ctx;
    leader_update_validity(leader);
    return leadership_valid(leader->node->leadership);
}

static void
on_inherited_host(void *sched, const char *host)
{
    scheduler_host_commanded_before(sched, host);
}

void
host_commands_load(struct host_commands *commands, const struct kv_item *item)
{
    if (strcmp(item->key, RECORD_HOST_COMMANDS_KEY) != 0 ||
        item->value == NULL) {
        return;
    }
    commands->revision = item->revision;
    recent_hosts_inherit(commands->recent, item->value,
                         node_now(commands->leader->node) +
                             RECORD_INHERITED_MS,
                         on_inherited_host, commands->leader->sched);
}

void
host_commands_add(struct host_commands *commands, const char *host,
                  const char *pool, int64_t wave)
{
    struct queued_host_command *command =
        g_new0(struct queued_host_command, 1);
    command->host = g_strdup(host);
    command->pool = g_strdup(pool);
    command->wave = wave;
    g_ptr_array_add(commands->queue, command);
}

static void
send_command(struct host_commands *commands,
             const struct queued_host_command *command)
{
    struct leader *leader = commands->leader;
    if (command->pool != NULL) {
        hosts_api_move(leader->hosts, command->host, command->pool,
                       leader->token);
    }
    else {
        hosts_api_reboot(leader->hosts, command->host, command->wave,
                         leader->token);
    }
}

/* Sends the recorded commands, or reports them to the scheduler as refused. */
static void
dispatch_recorded(struct host_commands *commands, bool recorded)
{
    struct leader *leader = commands->leader;
    leader_update_validity(leader);
    bool send = recorded && leadership_valid(leader->node->leadership);
    for (guint i = 0; i < commands->recorded; i++) {
        const struct queued_host_command *command =
            g_ptr_array_index(commands->queue, i);
        if (send) {
            send_command(commands, command);
        }
        else {
            scheduler_on_host_command(leader->sched, command->host,
                                      command->wave, HOST_COMMAND_REFUSED);
        }
    }
    g_ptr_array_remove_range(commands->queue, 0, commands->recorded);
    commands->recorded = 0;
}

static void
on_recorded(void *ctx, const struct kv_result *result)
{
    struct host_commands *commands = ctx;
    struct leader *leader = commands->leader;
    commands->writing = false;
    if (result->outcome == KV_OK) {
        commands->revision = result->revision;
        dispatch_recorded(commands, true);
        host_commands_flush(commands);
        return;
    }
    if (result->outcome != KV_CONFLICT) {
        event_log("store_failed", "\"what\":\"host commands\",\"status\":%d",
                  result->status);
        dispatch_recorded(commands, false);
        return;
    }
    /* Another leader, or an earlier write of this process whose answer was
     * lost. */
    for (guint i = 0; i < result->items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(result->items, i);
        if (strcmp(item->key, RECORD_LEADER_KEY) == 0 &&
            item->revision != leader->token) {
            leadership_lose(leader->node->leadership,
                            "another leader was found");
            return;
        }
        if (strcmp(item->key, RECORD_HOST_COMMANDS_KEY) == 0) {
            commands->revision = item->revision;
        }
    }
    commands->recorded = 0;
    host_commands_flush(commands);
}

static char *
encode_recent(struct host_commands *commands)
{
    int64_t now_ms = node_now(commands->leader->node);
    int64_t retention_ms =
        commands->leader->node->settings->timings.command_gap_ms +
        RECORD_MARGIN_MS;
    for (guint i = 0; i < commands->queue->len; i++) {
        const struct queued_host_command *command =
            g_ptr_array_index(commands->queue, i);
        recent_hosts_add(commands->recent, command->host,
                         now_ms + retention_ms);
    }
    return recent_hosts_encode(commands->recent, now_ms);
}

void
host_commands_flush(struct host_commands *commands)
{
    if (commands->writing || commands->queue->len == 0) {
        return;
    }
    char *value = encode_recent(commands);
    struct kv_condition conditions[] = {
        {.key = RECORD_LEADER_KEY, .revision = commands->leader->token},
        {.key = RECORD_HOST_COMMANDS_KEY, .revision = commands->revision},
    };
    struct kv_put put = {.key = RECORD_HOST_COMMANDS_KEY, .value = value};
    struct kv_txn txn = {
        .conditions = conditions,
        .n_conditions = G_N_ELEMENTS(conditions),
        .puts = &put,
        .n_puts = 1,
    };
    commands->writing = true;
    commands->recorded = commands->queue->len;
    committer_commit(commands->committer, &txn,
                     (struct kv_done){.call = on_recorded, .ctx = commands});
    g_free(value);
}
