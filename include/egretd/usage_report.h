/* Exchanges with the other gateways how much of each pool every team uses. */
#ifndef EGRETD_USAGE_REPORT_H
#define EGRETD_USAGE_REPORT_H

#include "common/ms_clock.h"
#include "egretd/engine.h"
#include "egretd/peers.h"

struct usage_report_options {
    struct engine *engine;
    struct peers *peers;
    struct ms_clock clock;
};

struct usage_report;

struct usage_report *
usage_report_create(const struct usage_report_options *options);
void
usage_report_destroy(struct usage_report *report);

/** usage_report_received() - apply a peer's report. */
void
usage_report_received(struct usage_report *report, const char *peer,
                      const struct message_usage *usage);

#endif
