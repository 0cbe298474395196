#include <stdio.h>

#include "commands.h"
#include "common/config.h"
#include "common/json_read.h"
#include "common/settings.h"

/* Distinguishes a daemon's settings file from a configuration by members that
 * only settings have. */
static bool
is_settings_file(JsonNode *root)
{
    JsonObject *object = json_node_get_object(root);
    return json_object_has_member(object, "store_url") ||
           json_object_has_member(object, "secret_file") ||
           json_object_has_member(object, "http_port");
}

static void
check_file(const char *file, struct findings *findings)
{
    JsonNode *root = json_read_file(file, findings);
    if (root == NULL) {
        return;
    }
    if (is_settings_file(root)) {
        struct settings *settings = settings_read(file, findings);
        if (settings != NULL) {
            g_free(settings_read_secret(settings, findings));
        }
        settings_destroy(settings);
    }
    else {
        config_destroy(config_parse(root, file, findings));
    }
    json_node_unref(root);
}

static void
print_json(const struct findings *findings)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_array(builder);
    for (size_t i = 0; i < findings_count(findings); i++) {
        const struct finding *finding = findings_get(findings, i);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "file");
        json_builder_add_string_value(builder, finding->file);
        json_builder_set_member_name(builder, "path");
        json_builder_add_string_value(builder, finding->path);
        json_builder_set_member_name(builder, "reason");
        json_builder_add_string_value(builder, finding->reason);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    JsonNode *root = json_builder_get_root(builder);
    ctl_print_json(root);
    json_node_unref(root);
    g_object_unref(builder);
}

enum ctl_exit
command_check(struct ctl *ctl, int n_args, char **args)
{
    struct findings *findings = findings_create();
    for (int i = 0; i < n_args; i++) {
        check_file(args[i], findings);
    }
    enum ctl_exit code = findings_count(findings) == 0 ? CTL_OK : CTL_REFUSED;
    if (ctl->options.json) {
        print_json(findings);
    }
    else {
        findings_print(findings, stderr);
    }
    findings_destroy(findings);
    return code;
}
