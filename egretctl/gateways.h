/* The registered gateways, and HTTP requests to them. */
#ifndef EGRETCTL_GATEWAYS_H
#define EGRETCTL_GATEWAYS_H

#include "ctl.h"

/**
 * struct gateway - a registered gateway
 * @state: as in the members record
 * @response: JSON object from the last gateways_query(), or NULL
 * @error_text: why there is no response
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

/** gateways_fetch() - gateways in the members record, sorted by name; NULL
 * with an error in @status if the record can't be read. Without a record the
 * array is empty. */
GPtrArray *
gateways_fetch(struct ctl *ctl, struct status *status);

/** gateways_query() - send GET @path to every gateway in state "live" and wait
 * for the responses. */
void
gateways_query(struct ctl *ctl, GPtrArray *gateways, const char *path);

/** gateway_response_string() - string member of the response, or NULL. */
const char *
gateway_response_string(const struct gateway *gateway, const char *member);

/** gateway_response_int() - integer member of the response, or -1. */
int64_t
gateway_response_int(const struct gateway *gateway, const char *member);

/** gateway_response_bool() - boolean member of the response; false if there is
 * none. */
bool
gateway_response_bool(const struct gateway *gateway, const char *member);

#endif
