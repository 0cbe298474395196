#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "store/store_keys.h"

/*
 * Blocking calls to the store: each runs the main loop until the store has
 * responded.
 */

bool
ctl_option_given(const struct ctl *ctl, enum ctl_flag flag)
{
    return (ctl->options.given & flag) != 0;
}

enum ctl_exit
ctl_fail(enum ctl_exit code, const char *format, ...)
{
    va_list args;
    fputs("egretctl: ", stderr);
    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
    return code;
}

enum ctl_exit
ctl_fail_status(const struct status *status)
{
    static const enum ctl_exit codes[] = {
        [STATUS_OK] = CTL_OK,
        [STATUS_INVALID] = CTL_REFUSED,
        [STATUS_NOT_FOUND] = CTL_REFUSED,
        [STATUS_CONFLICT] = CTL_CONFLICT,
        [STATUS_DENIED] = CTL_REFUSED,
        [STATUS_UNAVAILABLE] = CTL_NO_STORE,
        [STATUS_UNKNOWN] = CTL_UNKNOWN,
        [STATUS_TOO_LARGE] = CTL_REFUSED,
        [STATUS_INTERNAL] = CTL_REFUSED,
    };
    return ctl_fail(codes[status->code], "%s", status->message);
}

struct entry_wait {
    struct ctl *ctl;
    struct ctl_entry entry;
};

static void
on_entry(void *ctx, const struct store_result *result)
{
    struct entry_wait *wait = ctx;
    wait->entry.status = result->status;
    if (result->n_entries > 0) {
        wait->entry.value = g_strdup(result->entries[0].value);
        wait->entry.version = result->entries[0].version;
    }
    g_main_loop_quit(wait->ctl->loop);
}

struct ctl_entry
ctl_get(struct ctl *ctl, const char *key)
{
    struct entry_wait wait = {.ctl = ctl};
    store_get(ctl->store, key,
              (struct store_callback){.done = on_entry, .ctx = &wait});
    g_main_loop_run(ctl->loop);
    return wait.entry;
}

struct ctl_entry
ctl_cas(struct ctl *ctl, const char *key, const char *value, uint64_t version)
{
    struct entry_wait wait = {.ctl = ctl};
    store_cas(ctl->store, key, value, strlen(value), version,
              (struct store_callback){.done = on_entry, .ctx = &wait});
    g_main_loop_run(ctl->loop);
    return wait.entry;
}

void
ctl_entry_clear(struct ctl_entry *entry)
{
    g_clear_pointer(&entry->value, g_free);
}

struct list_wait {
    struct ctl *ctl;
    struct status status;
    void (*each)(void *ctx, const struct store_entry *entry);
    void *ctx;
};

static void
on_list(void *ctx, const struct store_result *result)
{
    struct list_wait *wait = ctx;
    wait->status = result->status;
    for (size_t i = 0; i < result->n_entries; i++) {
        wait->each(wait->ctx, &result->entries[i]);
    }
    g_main_loop_quit(wait->ctl->loop);
}

struct status
ctl_list(struct ctl *ctl, const char *prefix,
         void (*each)(void *ctx, const struct store_entry *entry), void *ctx)
{
    struct list_wait wait = {.ctl = ctl, .each = each, .ctx = ctx};
    store_get(ctl->store, prefix,
              (struct store_callback){.done = on_list, .ctx = &wait});
    g_main_loop_run(ctl->loop);
    return wait.status;
}

struct snapshot_wait {
    struct ctl *ctl;
    struct config_snapshot snapshot;
    uint64_t generation;
};

static void
on_snapshot(void *ctx, struct config_snapshot *snapshot)
{
    struct snapshot_wait *wait = ctx;
    wait->snapshot = *snapshot;
    snapshot->head = NULL;
    snapshot->head_text = NULL;
    snapshot->texts = NULL;
    snapshot->config = NULL;
    g_main_loop_quit(wait->ctl->loop);
}

struct config_snapshot
ctl_fetch(struct ctl *ctl)
{
    struct snapshot_wait wait = {.ctl = ctl};
    config_fetch(ctl->store, NULL,
                 (struct config_fetch_callback){
                     .done = on_snapshot,
                     .ctx = &wait,
                 });
    g_main_loop_run(ctl->loop);
    return wait.snapshot;
}

static void
fetch_stored(struct snapshot_wait *wait, const struct config_head *head)
{
    char *text = config_head_render(head);
    struct store_entry entry = {
        .key = "",
        .value = text,
        .size_bytes = strlen(text),
    };
    config_fetch_from_head(wait->ctl->store, &entry, NULL,
                           (struct config_fetch_callback){
                               .done = on_snapshot,
                               .ctx = wait,
                           });
    g_free(text);
}

static void
on_history(void *ctx, const struct config_history *history)
{
    struct snapshot_wait *wait = ctx;
    wait->snapshot.status = history->status;
    for (guint i = 0; i < history->heads->len; i++) {
        const struct config_head *head = g_ptr_array_index(history->heads, i);
        if (head->generation == wait->generation) {
            fetch_stored(wait, head);
            return;
        }
    }
    if (status_ok(&history->status)) {
        status_set(&wait->snapshot.status, STATUS_NOT_FOUND,
                   "generation %" G_GUINT64_FORMAT " is not stored",
                   wait->generation);
    }
    g_main_loop_quit(wait->ctl->loop);
}

struct config_snapshot
ctl_fetch_generation(struct ctl *ctl, uint64_t generation)
{
    struct snapshot_wait wait = {.ctl = ctl, .generation = generation};
    config_history_read(ctl->store, (struct config_history_callback){
                                        .done = on_history,
                                        .ctx = &wait,
                                    });
    g_main_loop_run(ctl->loop);
    return wait.snapshot;
}

struct config_head *
ctl_head(struct ctl *ctl)
{
    struct ctl_entry entry = ctl_get(ctl, STORE_KEY_CONFIG_HEAD);
    struct findings *findings = findings_create();
    struct config_head *head =
        entry.value == NULL ? NULL
                            : config_head_parse(entry.value, -1, findings);
    findings_destroy(findings);
    ctl_entry_clear(&entry);
    return head;
}

void
ctl_snapshot_clear(struct config_snapshot *snapshot)
{
    config_head_destroy(snapshot->head);
    config_destroy(snapshot->config);
    g_free(snapshot->head_text);
    g_clear_pointer(&snapshot->texts, g_tree_unref);
    snapshot->head = NULL;
    snapshot->config = NULL;
    snapshot->head_text = NULL;
}

struct publish_wait {
    struct ctl *ctl;
    struct ctl_publish_result published;
    uint64_t head_version;
};

static void
on_published(void *ctx, const struct config_publish_result *result)
{
    struct publish_wait *wait = ctx;
    wait->published.status = result->status;
    wait->published.generation = result->generation;
    wait->head_version = result->head_version;
    g_strlcpy(wait->published.id, result->id == NULL ? "" : result->id,
              sizeof(wait->published.id));
    g_main_loop_quit(wait->ctl->loop);
}

static void
on_pruned(void *ctx)
{
    struct ctl *ctl = ctx;
    g_main_loop_quit(ctl->loop);
}

enum {
    PRUNE_EVERY_GENERATIONS = 10,
};

struct ctl_publish_result
ctl_publish(struct ctl *ctl, const struct config_snapshot *base,
            const struct config *config, const char *summary, uint64_t above)
{
    struct publish_wait wait = {.ctl = ctl};
    const struct config_publish_request request = {
        .config = config,
        .base = base->head,
        .base_version = base->head_version,
        .above_generation = above,
        .author = ctl->author,
        .summary = summary,
        .written_s = g_get_real_time() / G_USEC_PER_SEC,
    };
    config_publish(ctl->store, &request,
                   (struct config_publish_callback){
                       .done = on_published,
                       .ctx = &wait,
                   });
    g_main_loop_run(ctl->loop);
    if (wait.head_version != 0 &&
        wait.published.generation % PRUNE_EVERY_GENERATIONS == 0) {
        config_prune(ctl->store, wait.published.generation, wait.head_version,
                     on_pruned, ctl);
        g_main_loop_run(ctl->loop);
    }
    return wait.published;
}

void
ctl_print_json(JsonNode *root)
{
    char *text = json_to_string(root, TRUE);
    printf("%s\n", text);
    g_free(text);
}
