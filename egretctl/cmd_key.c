#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "change.h"
#include "commands.h"
#include "common/key.h"
#include "table.h"

struct key_issue {
    const char *team;
    const char *id;
    const char *text;
    int64_t expires_s;
};

static enum ctl_exit
edit_issue(void *ctx, const struct config *active, struct config **config)
{
    const struct key_issue *issue = ctx;
    struct config_team *team =
        active == NULL
            ? NULL
            : (struct config_team *)config_find_team(*config, issue->team);
    if (team == NULL) {
        return ctl_fail(CTL_REFUSED, "no team is named %s", issue->team);
    }
    team->keys = g_renew(struct config_key, team->keys, team->n_keys + 1);
    struct config_key *key = &team->keys[team->n_keys++];
    key->id = g_strdup(issue->id);
    key->expires_s = issue->expires_s;
    key_hash(issue->text, key->hash_hex);
    struct config *rebuilt = config_rebuild(*config);
    config_destroy(*config);
    *config = rebuilt;
    return rebuilt == NULL ? CTL_REFUSED : CTL_OK;
}

static void
print_key(const struct ctl *ctl, const struct key_issue *issue)
{
    if (ctl->options.json) {
        printf("{\"id\": \"%s\", \"key\": \"%s\", \"expires_s\": %" PRId64
               "}\n",
               issue->id, issue->text, issue->expires_s);
        return;
    }
    printf("%s\n", issue->text);
}

enum ctl_exit
command_key_issue(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    char text[KEY_TEXT_MAX_BYTES + 1];
    char id[KEY_ID_BYTES + 1];
    if (!key_generate(text) || !key_parse_id(text, id)) {
        return ctl_fail(CTL_REFUSED,
                        "cannot generate a key: no random numbers");
    }
    struct key_issue issue = {.team = args[0], .id = id, .text = text};
    if (ctl_option_given(ctl, CTL_FLAG_EXPIRES)) {
        issue.expires_s =
            g_get_real_time() / G_USEC_PER_SEC + ctl->options.expires_s;
    }
    char *subject = g_strdup_printf("teams[%s].keys[%s]", args[0], id);
    char *summary = g_strdup_printf("key issue %s %s", args[0], id);
    enum ctl_exit code = change_publish(ctl, &(struct config_change){
                                                 .summary = summary,
                                                 .subject = subject,
                                                 .edit = edit_issue,
                                                 .ctx = &issue,
                                                 .quiet = true,
                                             });
    if (code == CTL_OK || code == CTL_PENDING) {
        print_key(ctl, &issue);
    }
    else if (code == CTL_UNKNOWN) {
        ctl_fail(code, "the key may have been stored; withdraw it: %s", id);
    }
    g_free(subject);
    g_free(summary);
    return code;
}

static enum ctl_exit
edit_withdraw(void *ctx, const struct config *active, struct config **config)
{
    const char *id = ctx;
    const struct config_team *owner = NULL;
    const struct config_key *key =
        active == NULL ? NULL : config_find_key(*config, id, &owner);
    if (key == NULL) {
        return ctl_fail(CTL_REFUSED, "no key has the id %s", id);
    }
    struct config_team *team = (struct config_team *)owner;
    size_t place = (size_t)(key - team->keys);
    g_free(team->keys[place].id);
    team->n_keys--;
    memmove(&team->keys[place], &team->keys[place + 1],
            (team->n_keys - place) * sizeof(*team->keys));
    struct config *rebuilt = config_rebuild(*config);
    config_destroy(*config);
    *config = rebuilt;
    return rebuilt == NULL ? CTL_REFUSED : CTL_OK;
}

enum ctl_exit
command_key_withdraw(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    char *summary = g_strdup_printf("key withdraw %s", args[0]);
    enum ctl_exit code = change_publish(ctl, &(struct config_change){
                                                 .summary = summary,
                                                 .subject = "teams",
                                                 .edit = edit_withdraw,
                                                 .ctx = args[0],
                                             });
    g_free(summary);
    return code;
}

enum ctl_exit
command_key_list(struct ctl *ctl, int n_args, char **args)
{
    static const char *const heading[] = {"id", "team", "expires"};
    struct config_snapshot snapshot = ctl_fetch(ctl);
    if (!status_ok(&snapshot.status)) {
        enum ctl_exit code = ctl_fail_status(&snapshot.status);
        ctl_snapshot_clear(&snapshot);
        return code;
    }
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    for (size_t i = 0; i < snapshot.config->n_keys; i++) {
        const struct config_key_entry *entry = &snapshot.config->key_index[i];
        if (n_args == 1 && !g_str_equal(entry->team->name, args[0])) {
            continue;
        }
        GDateTime *time =
            entry->key->expires_s == 0
                ? NULL
                : g_date_time_new_from_unix_utc(entry->key->expires_s);
        char *expires = time == NULL ? g_strdup("never")
                                     : g_date_time_format(time, "%FT%TZ");
        const char *const cells[] = {entry->key->id, entry->team->name,
                                     expires};
        table_add(table, cells);
        g_free(expires);
        g_clear_pointer(&time, g_date_time_unref);
    }
    table_print(table, ctl->options.json);
    table_destroy(table);
    ctl_snapshot_clear(&snapshot);
    return CTL_OK;
}
