/* Parses the report of a gateway under STORE_KEY_DEMAND. */
#ifndef EGRETFLEETD_GATEWAY_REPORT_H
#define EGRETFLEETD_GATEWAY_REPORT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"

/**
 * struct gateway_report - parsed report
 * @incarnation: incarnation of the gateway that wrote it, or NULL
 * @pools: pool name to count of slots needed, double
 * @draining: name of a draining host to count of the gateway's tasks that run
 *            there, int64_t
 * @suspects: host name to count of consecutive failed tasks, int64_t
 */
struct gateway_report {
    char *incarnation;
    GHashTable *pools;
    GHashTable *draining;
    GHashTable *suspects;
};

/**
 * gateway_report_parse() - parse the JSON text of a report
 * @file: store key, for findings
 *
 * Invalid parts are reported in @findings and left out.
 *
 * Returns: the report, or NULL when @text is not a JSON object.
 */
struct gateway_report *
gateway_report_parse(const char *text, size_t size_bytes, const char *file,
                     struct findings *findings);
void
gateway_report_destroy(struct gateway_report *report);

#endif
