#include <stdio.h>
#include <string.h>

#include "change.h"
#include "cmd_apply.h"
#include "commands.h"
#include "common/json_read.h"

static struct config_team *
find_team(struct config *config, const char *name)
{
    return (struct config_team *)config_find_team(config, name);
}

static void
copy_key(struct config_team *team, const struct config_key *key)
{
    team->keys = g_renew(struct config_key, team->keys, team->n_keys + 1);
    team->keys[team->n_keys] = *key;
    team->keys[team->n_keys].id = g_strdup(key->id);
    team->n_keys++;
}

/* Keys are created by "key issue"; a configuration file in version control has
 * none. */
static void
carry_over_keys(struct config *config, const struct config *active)
{
    for (size_t i = 0; i < active->n_keys; i++) {
        const struct config_key_entry *entry = &active->key_index[i];
        const struct config_team *owner = NULL;
        struct config_team *team = find_team(config, entry->team->name);
        if (team != NULL &&
            config_find_key(config, entry->key->id, &owner) == NULL) {
            copy_key(team, entry->key);
        }
    }
}

static bool
file_sets_state(JsonNode *root, const char *dc)
{
    JsonArray *dcs = json_object_get_array_member(json_node_get_object(root),
                                                  "data_centres");
    for (guint i = 0; i < json_array_get_length(dcs); i++) {
        JsonObject *entry = json_array_get_object_element(dcs, i);
        if (g_str_equal(json_object_get_string_member(entry, "name"), dc)) {
            return json_object_has_member(entry, "state");
        }
    }
    return false;
}

/* A data centre that an operator took out of service stays out unless the file
 * sets its state. */
static void
carry_over_dc_states(struct config *config, const struct config *active,
                     JsonNode *root)
{
    for (size_t i = 0; i < config->n_dcs; i++) {
        struct config_dc *dc = &config->dcs[i];
        const struct config_dc *before = config_find_dc(active, dc->name);
        if (before != NULL && !file_sets_state(root, dc->name)) {
            dc->state = before->state;
        }
    }
}

struct apply {
    const char *file;
    JsonNode *root;
};

struct config *
apply_merge(JsonNode *root, const char *file, const struct config *active)
{
    struct findings *findings = findings_create();
    struct config *config = config_parse(root, file, findings);
    findings_print(findings, stderr);
    findings_destroy(findings);
    if (config == NULL || active == NULL) {
        return config;
    }
    carry_over_dc_states(config, active, root);
    carry_over_keys(config, active);
    struct config *merged = config_rebuild(config);
    config_destroy(config);
    return merged;
}

static enum ctl_exit
edit_apply(void *ctx, const struct config *active, struct config **config)
{
    const struct apply *apply = ctx;
    config_destroy(*config);
    *config = apply_merge(apply->root, apply->file, active);
    return *config == NULL ? CTL_REFUSED : CTL_OK;
}

JsonNode *
apply_read_file(const char *file)
{
    struct findings *findings = findings_create();
    JsonNode *root = json_read_file(file, findings);
    struct config *config =
        root == NULL ? NULL : config_parse(root, file, findings);
    if (config == NULL) {
        findings_print(findings, stderr);
        g_clear_pointer(&root, json_node_unref);
    }
    config_destroy(config);
    findings_destroy(findings);
    return root;
}

enum ctl_exit
command_apply(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    JsonNode *root = apply_read_file(args[0]);
    if (root == NULL) {
        return CTL_REFUSED;
    }
    struct apply apply = {.file = args[0], .root = root};
    char *name = g_path_get_basename(args[0]);
    char *summary = g_strdup_printf("apply %s", name);
    enum ctl_exit code = change_publish(ctl, &(struct config_change){
                                                 .summary = summary,
                                                 .edit = edit_apply,
                                                 .ctx = &apply,
                                             });
    g_free(summary);
    g_free(name);
    json_node_unref(root);
    return code;
}
