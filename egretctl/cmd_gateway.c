#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "common/json_read.h"
#include "gateways.h"
#include "store/store_keys.h"
#include "table.h"

enum ctl_exit
command_gateway_list(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    (void)args;
    static const char *const heading[] = {
        "name", "incarnation", "dc", "address", "port", "state",
    };
    struct status status;
    GPtrArray *gateways = gateways_fetch(ctl, &status);
    if (gateways == NULL) {
        return ctl_fail_status(&status);
    }
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    for (guint i = 0; i < gateways->len; i++) {
        const struct gateway *gateway = g_ptr_array_index(gateways, i);
        char port[8];
        g_snprintf(port, sizeof(port), "%u", gateway->http_port);
        const char *const cells[] = {
            gateway->name, gateway->incarnation, gateway->dc, gateway->address,
            port,          gateway->state,
        };
        table_add(table, cells);
    }
    table_print(table, ctl->options.json);
    table_destroy(table);
    g_ptr_array_unref(gateways);
    return CTL_OK;
}

/* The members record with the state of @incarnation set to "gone"; NULL if the
 * record is malformed or has no such member. */
static char *
mark_gone(const char *text, const char *incarnation)
{
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(text, -1, "members", findings);
    findings_destroy(findings);
    if (root == NULL) {
        return NULL;
    }
    JsonObject *record = json_node_get_object(root);
    JsonObject *members = json_object_get_object_member(record, "members");
    char *edited = NULL;
    if (json_object_has_member(members, incarnation)) {
        JsonObject *member =
            json_object_get_object_member(members, incarnation);
        json_object_set_string_member(member, "state", "gone");
        json_object_set_int_member(
            record, "epoch", json_object_get_int_member(record, "epoch") + 1);
        edited = json_to_string(root, FALSE);
    }
    json_node_unref(root);
    return edited;
}

static const struct gateway *
find_gateway(const GPtrArray *gateways, const char *incarnation)
{
    for (guint i = 0; i < gateways->len; i++) {
        const struct gateway *gateway = g_ptr_array_index(gateways, i);
        if (g_str_equal(gateway->incarnation, incarnation)) {
            return gateway;
        }
    }
    return NULL;
}

/* Refuses unless the gateway is registered as live and does not respond: only
 * then can an operator declare that its process has ended. */
static enum ctl_exit
check_unresponsive(struct ctl *ctl, const char *incarnation)
{
    struct status status;
    GPtrArray *gateways = gateways_fetch(ctl, &status);
    if (gateways == NULL) {
        return ctl_fail_status(&status);
    }
    gateways_query(ctl, gateways, "/v1/status");
    const struct gateway *gateway = find_gateway(gateways, incarnation);
    enum ctl_exit code = CTL_OK;
    if (gateway == NULL) {
        code = ctl_fail(CTL_REFUSED, "no gateway is registered as %s",
                        incarnation);
    }
    else if (g_strcmp0(gateway->state, "live") != 0) {
        code = ctl_fail(CTL_REFUSED, "%s is already in state %s", incarnation,
                        gateway->state);
    }
    else if (g_strcmp0(gateway_response_string(gateway, "incarnation"),
                       incarnation) == 0) {
        code = ctl_fail(CTL_REFUSED,
                        "%s still responds; its process has not ended",
                        incarnation);
    }
    g_ptr_array_unref(gateways);
    return code;
}

static enum ctl_exit
write_state_gone(struct ctl *ctl, const char *incarnation)
{
    struct ctl_entry entry = ctl_get(ctl, STORE_KEY_MEMBERS);
    char *edited =
        status_ok(&entry.status) ? mark_gone(entry.value, incarnation) : NULL;
    enum ctl_exit code = CTL_OK;
    if (edited == NULL) {
        code = ctl_fail(CTL_NO_STORE,
                        "members record not readable or member missing");
    }
    else {
        struct ctl_entry written =
            ctl_cas(ctl, STORE_KEY_MEMBERS, edited, entry.version);
        if (!status_ok(&written.status)) {
            code = ctl_fail_status(&written.status);
        }
        ctl_entry_clear(&written);
    }
    g_free(edited);
    ctl_entry_clear(&entry);
    return code;
}

enum ctl_exit
command_gateway_forget(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    if (!ctl_option_given(ctl, CTL_FLAG_YES)) {
        return ctl_fail(CTL_USAGE,
                        "team limits may be exceeded if the process still "
                        "runs; give --yes if it has certainly ended");
    }
    enum ctl_exit code = check_unresponsive(ctl, args[0]);
    if (code != CTL_OK) {
        return code;
    }
    code = write_state_gone(ctl, args[0]);
    if (code == CTL_OK && !ctl->options.json) {
        printf(
            "%s is marked as gone; its permits are reclaimed when the lease "
            "of its last task has expired\n",
            args[0]);
    }
    return code;
}
