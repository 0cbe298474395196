#include "model_store.h"

#include <string.h>

static struct model_renewal *
find_renewal(struct model_store *store, const char *incarnation)
{
    for (size_t i = 0; i < store->n_renewals; i++) {
        if (strcmp(store->renewals[i].incarnation, incarnation) == 0) {
            return &store->renewals[i];
        }
    }
    return NULL;
}

static bool
check_version(struct model_call *call, uint64_t version)
{
    bool good = call->version == version;
    call->answer = good ? ANSWER_OK : ANSWER_CONFLICT;
    return good;
}

static void
execute_members(struct model_store *store, struct model_call *call)
{
    if (call->kind == CALL_MEMBERS_CAS &&
        check_version(call, store->members_version)) {
        members_record_destroy(store->members);
        store->members = members_record_copy(call->members);
        store->members_version = ++store->index;
    }
    members_record_destroy(call->members);
    call->members =
        store->members == NULL ? NULL : members_record_copy(store->members);
    call->version = store->members_version;
}

static void
execute_permits(struct model_store *store, struct model_call *call)
{
    if (call->kind == CALL_PERMITS_CAS &&
        check_version(call, store->permits_version)) {
        permits_record_destroy(store->permits);
        store->permits = permits_record_copy(call->permits);
        store->permits_version = ++store->index;
    }
    permits_record_destroy(call->permits);
    call->permits =
        store->permits == NULL ? NULL : permits_record_copy(store->permits);
    call->version = store->permits_version;
}

static void
execute_renewal(struct model_store *store, struct model_call *call)
{
    struct model_renewal *renewal = find_renewal(store, call->incarnation);
    if (!check_version(call, renewal == NULL ? 0 : renewal->version)) {
        call->version = renewal == NULL ? 0 : renewal->version;
        return;
    }
    if (call->kind == CALL_RENEWAL_DELETE && renewal != NULL) {
        *renewal = store->renewals[--store->n_renewals];
        return;
    }
    if (renewal == NULL && store->n_renewals < MODEL_RENEWALS_MAX) {
        renewal = &store->renewals[store->n_renewals++];
        g_strlcpy(renewal->incarnation, call->incarnation, MODEL_NAME_BYTES);
    }
    renewal->version = ++store->index;
    call->version = renewal->version;
}

void
model_store_execute(struct model_store *store, struct model_call *call)
{
    call->executed = true;
    call->answer = ANSWER_OK;
    switch (call->kind) {
    case CALL_MEMBERS_READ:
    case CALL_MEMBERS_CAS:
        execute_members(store, call);
        break;
    case CALL_PERMITS_READ:
    case CALL_PERMITS_CAS:
        execute_permits(store, call);
        break;
    case CALL_RENEWAL_CAS:
    case CALL_RENEWAL_DELETE:
        execute_renewal(store, call);
        break;
    case CALL_RENEWALS_READ:
        memcpy(call->renewals, store->renewals, sizeof(store->renewals));
        call->n_renewals = store->n_renewals;
        break;
    }
}

void
model_store_clear(struct model_store *store)
{
    members_record_destroy(store->members);
    permits_record_destroy(store->permits);
}

void
model_call_destroy(void *data)
{
    struct model_call *call = data;
    members_record_destroy(call->members);
    permits_record_destroy(call->permits);
    g_free(call);
}
