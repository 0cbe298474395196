#include "change.h"

#include <inttypes.h>
#include <stdio.h>

#include "config_diff.h"
#include "gateways.h"

enum {
    PUBLISH_ATTEMPTS = 5,
};

static void
print_lines(FILE *stream, const GPtrArray *lines)
{
    for (guint i = 0; i < lines->len; i++) {
        fprintf(stream, "  %s\n", (char *)g_ptr_array_index(lines, i));
    }
}

/* Prints what another operator changed; returns whether it concerns @subject,
 * which is assumed if the configuration can't be fetched. */
static bool
conflicts_with_other_change(struct ctl *ctl,
                            const struct config_snapshot *base,
                            const char *subject)
{
    struct config_snapshot now = ctl_fetch(ctl);
    bool conflict = true;
    if (status_ok(&now.status)) {
        GPtrArray *lines = config_diff(base->config, now.config);
        fprintf(stderr,
                "egretctl: another change came first: generation %" PRIu64
                " by %s: %s\n",
                now.head->generation, now.head->author, now.head->summary);
        print_lines(stderr, lines);
        conflict = subject == NULL || config_diff_touches(lines, subject);
        g_ptr_array_unref(lines);
    }
    ctl_snapshot_clear(&now);
    return conflict;
}

static enum ctl_exit
report_publication(struct ctl *ctl, const struct ctl_publish_result *published,
                   const GPtrArray *lines, bool quiet)
{
    if (!quiet && !ctl->options.json) {
        print_lines(stdout, lines);
    }
    if (ctl_option_given(ctl, CTL_FLAG_WAIT)) {
        return change_wait(ctl, published->generation);
    }
    if (ctl->options.json) {
        printf("{\"generation\": %" PRIu64 ", \"id\": \"%s\"}\n",
               published->generation, published->id);
    }
    else if (!quiet) {
        printf("generation %" PRIu64 " is written\n", published->generation);
    }
    return CTL_OK;
}

/*
 * Highest generation active on a gateway; 0 without --yes. Gateways ignore a
 * generation lower than their own. After the store was restored from a backup,
 * a change therefore needs a generation above theirs, and --yes to confirm it.
 */
static uint64_t
highest_active_generation(struct ctl *ctl)
{
    struct status status;
    uint64_t highest_generation = 0;
    GPtrArray *gateways = ctl_option_given(ctl, CTL_FLAG_YES)
                              ? gateways_fetch(ctl, &status)
                              : NULL;
    if (gateways == NULL) {
        return 0;
    }
    gateways_query(ctl, gateways, "/v1/status");
    for (guint i = 0; i < gateways->len; i++) {
        int64_t generation =
            gateway_response_int(g_ptr_array_index(gateways, i), "generation");
        highest_generation =
            MAX(highest_generation, (uint64_t)MAX(generation, 0));
    }
    g_ptr_array_unref(gateways);
    return highest_generation;
}

/* CTL_CONFLICT with @retry set: the caller fetches and tries again. */
static enum ctl_exit
publish_once(struct ctl *ctl, const struct config_change *change,
             const struct config_snapshot *base, const struct config *config,
             bool *retry)
{
    GPtrArray *lines = config_diff(base->config, config);
    enum ctl_exit code = CTL_OK;
    uint64_t above = highest_active_generation(ctl);
    bool store_restored = base->head != NULL && above > base->head->generation;
    if (lines->len == 0 && !store_restored) {
        if (!change->quiet && !ctl->options.json) {
            printf("nothing to change\n");
        }
        if (base->head != NULL && ctl_option_given(ctl, CTL_FLAG_WAIT)) {
            code = change_wait(ctl, base->head->generation);
        }
        g_ptr_array_unref(lines);
        return code;
    }
    struct ctl_publish_result published =
        ctl_publish(ctl, base, config, change->summary, above);
    if (status_ok(&published.status)) {
        code = report_publication(ctl, &published, lines, change->quiet);
    }
    else if (published.status.code == STATUS_CONFLICT) {
        *retry = !conflicts_with_other_change(ctl, base, change->subject);
        code = CTL_CONFLICT;
    }
    else {
        code = ctl_fail_status(&published.status);
    }
    g_ptr_array_unref(lines);
    return code;
}

static enum ctl_exit
change_once(struct ctl *ctl, const struct config_change *change, bool *retry)
{
    struct config_snapshot base = ctl_fetch(ctl);
    bool usable = status_ok(&base.status) ||
                  base.status.code == STATUS_NOT_FOUND ||
                  (base.status.code == STATUS_INVALID && base.head != NULL &&
                   ctl_option_given(ctl, CTL_FLAG_YES));
    if (!usable) {
        enum ctl_exit code = ctl_fail_status(&base.status);
        ctl_snapshot_clear(&base);
        return code;
    }
    struct config *config = config_rebuild(base.config);
    enum ctl_exit code = change->edit(change->ctx, base.config, &config);
    if (code == CTL_OK && config != NULL) {
        code = publish_once(ctl, change, &base, config, retry);
    }
    config_destroy(config);
    ctl_snapshot_clear(&base);
    return code;
}

struct config *
config_rebuild(const struct config *config)
{
    if (config == NULL) {
        return NULL;
    }
    struct findings *findings = findings_create();
    JsonNode *root = config_to_json(config);
    struct config *rebuilt = config_parse(root, "configuration", findings);
    findings_print(findings, stderr);
    json_node_unref(root);
    findings_destroy(findings);
    return rebuilt;
}

enum ctl_exit
change_publish(struct ctl *ctl, const struct config_change *change)
{
    enum ctl_exit code = CTL_CONFLICT;
    bool retry = true;
    for (unsigned i = 0; i < PUBLISH_ATTEMPTS && retry; i++) {
        retry = false;
        code = change_once(ctl, change, &retry);
    }
    return code;
}
