/* The key-value store of the model: calls may be late or lost. */
#ifndef TESTS_MEMBERSHIP_MODEL_STORE_H
#define TESTS_MEMBERSHIP_MODEL_STORE_H

#include <glib.h>

#include "core/members.h"
#include "core/permits.h"

enum {
    MODEL_NAME_BYTES = 16,
    MODEL_RENEWALS_MAX = 64,
};

enum model_call_kind {
    CALL_MEMBERS_READ,
    CALL_MEMBERS_CAS,
    CALL_RENEWAL_CAS,
    CALL_RENEWAL_DELETE,
    CALL_RENEWALS_READ,
    CALL_PERMITS_READ,
    CALL_PERMITS_CAS,
};

enum model_answer {
    ANSWER_OK,
    ANSWER_CONFLICT,
    ANSWER_NOT_SENT,
    ANSWER_UNKNOWN,
};

struct model_renewal {
    char incarnation[MODEL_NAME_BYTES];
    uint64_t version;
};

/**
 * struct model_call - one call to the store
 * @incarnation_id: incarnation of @node that sent it
 * @arrive_ms, @answer_ms: when it reaches the store and when its answer
 *                         arrives; INT64_MAX when lost
 * @timeout_ms: when the node gives up; the call may take effect later
 * @refused: the connection failed, so the call never takes effect
 * @version: expected version; in the answer, the present one
 */
struct model_call {
    enum model_call_kind kind;
    int node;
    uint32_t incarnation_id;
    int64_t sent_ms;
    int64_t arrive_ms;
    int64_t answer_ms;
    int64_t timeout_ms;
    bool executed;
    bool delivered;
    bool refused;
    enum model_answer answer;
    uint64_t version;
    char incarnation[MODEL_NAME_BYTES];
    struct members_record *members;
    struct permits_record *permits;
    struct model_renewal renewals[MODEL_RENEWALS_MAX];
    size_t n_renewals;
};

struct model_store {
    uint64_t index;
    struct members_record *members;
    uint64_t members_version;
    struct permits_record *permits;
    uint64_t permits_version;
    struct model_renewal renewals[MODEL_RENEWALS_MAX];
    size_t n_renewals;
};

/** model_store_execute() - apply a call and fill in its answer. */
void
model_store_execute(struct model_store *store, struct model_call *call);

void
model_store_clear(struct model_store *store);
void
model_call_destroy(void *data);

#endif
