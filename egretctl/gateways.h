/* The registered gateways and what they say about themselves. */
#ifndef EGRETCTL_GATEWAYS_H
#define EGRETCTL_GATEWAYS_H

#include "ctl.h"

/**
 * struct gateway - a registered gateway
 * @state: as in the members record
 * @response: JSON object it answered, or NULL
 * @error_text: why there is no answer
 */
struct gateway {
    char *incarnation;
    char *name;
    char *address;
    char *dc;
    char *state;
    uint16_t http_port;
    JsonNode *response;
    char *error_text;
};

/** gateways_fetch() - those in the members record, sorted by name; NULL and
 * @status when it can't be read. No record means no gateways. */
GPtrArray *
gateways_fetch(struct ctl *ctl, struct status *status);

/** gateways_query() - GET @path from every one that is live. */
void
gateways_query(struct ctl *ctl, GPtrArray *gateways, const char *path);

/** gateway_response_string() - string member of an answer, or NULL. */
const char *
gateway_response_string(const struct gateway *gateway, const char *member);

/** gateway_response_int() - integer member of an answer, or -1. */
int64_t
gateway_response_int(const struct gateway *gateway, const char *member);

/** gateway_response_bool() - boolean member of an answer. */
bool
gateway_response_bool(const struct gateway *gateway, const char *member);

#endif
