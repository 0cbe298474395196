/* Request ids, which make sure that a non-idempotent request runs at most
 * once: each id is owned by one gateway, which runs the request or knows its
 * outcome. */
#ifndef CORE_REQUEST_IDS_H
#define CORE_REQUEST_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/outcome.h"

enum {
    /* How often a request may be forwarded between gateways to reach its
     * owner. */
    REQUEST_IDS_HOPS_MAX = 3,
    REQUEST_IDS_EARLIER_OWNERS_MAX = 16,
};

/**
 * struct request_ids_options - how to create a table
 * @self: this gateway's incarnation
 * @max_entries: ids stored at a time; beyond it new ids are refused, since an
 *               entry must not be removed before its retention has passed
 * @retention_ms: how long the outcome of an id is stored after the run ended
 */
struct request_ids_options {
    const char *self;
    uint32_t max_entries;
    int64_t retention_ms;
};

/**
 * struct request_id - a request with an id
 * @team, @id: together identify the request
 * @body_hash_hex: hash over queue and body; a different hash under the same id
 *                 is a conflict
 * @task: number of the request on this gateway, which later decisions name
 * @first_attempt: the caller declares that it never sent the id before
 * @hops: how often gateways have forwarded it already
 */
struct request_id {
    const char *team;
    const char *id;
    const char *body_hash_hex;
    uint64_t task;
    bool first_attempt;
    uint32_t hops;
};

/**
 * enum request_verdict - what the caller of this module does with a request
 * @REQUEST_RUN: submit it to the dispatcher, report its end with
 *               request_ids_finished()
 * @REQUEST_WAIT: another request with this id runs or waits for id queries;
 *                this one gets the same answer
 * @REQUEST_QUERY: query @peer about the id and pass its reply to
 *                 request_ids_query_answered()
 * @REQUEST_FORWARD: forward the request to @peer, which owns the id
 * @REQUEST_ANSWER: answer with @outcome, @reason and, if stored, @answer
 */
enum request_verdict {
    REQUEST_RUN,
    REQUEST_WAIT,
    REQUEST_QUERY,
    REQUEST_FORWARD,
    REQUEST_ANSWER,
};

/**
 * struct request_decision - a verdict and its details; strings and @answer are
 * valid until the next call
 * @tasks, @n_tasks: the requests that the verdict applies to, in order of
 *                   arrival; for REQUEST_RUN only the first one is run and
 *                   the others continue to wait
 * @answer: complete answer of an earlier run, or NULL
 */
struct request_decision {
    enum request_verdict verdict;
    const char *peer;
    enum outcome outcome;
    enum reason reason;
    GBytes *answer;
    const uint64_t *tasks;
    size_t n_tasks;
};

/**
 * enum id_query_result - reply of a gateway to a query about an id. After
 * ID_QUERY_ABSENT and ID_QUERY_OWNER_GONE it no longer runs requests with the
 * id but forwards them to the querier. If its table is too full to remember
 * that, it replies ID_QUERY_OWNER_GONE and may still run the id later
 * @ID_QUERY_ABSENT: the gateway never saw the id
 * @ID_QUERY_RUNNING: it runs the request; forward the request to wait with it
 * @ID_QUERY_FINISHED: it knows the outcome
 * @ID_QUERY_OWNER_GONE: an earlier owner is gone, so an earlier run of the id
 *                       can't be ruled out
 * @ID_QUERY_UNREACHABLE: the peer did not reply; set by the querier, never
 * sent
 */
enum id_query_result {
    ID_QUERY_ABSENT,
    ID_QUERY_RUNNING,
    ID_QUERY_FINISHED,
    ID_QUERY_OWNER_GONE,
    ID_QUERY_UNREACHABLE,
};

/**
 * struct id_query_reply - reply of a gateway to a query about an id
 * @earlier_owners, @n_earlier_owners: registered gateways that owned the id
 *                                     within the retention time and have to be
 *                                     queried too
 */
struct id_query_reply {
    enum id_query_result result;
    enum outcome outcome;
    enum reason reason;
    GBytes *answer;
    const char *earlier_owners[REQUEST_IDS_EARLIER_OWNERS_MAX];
    size_t n_earlier_owners;
};

struct request_ids;

struct request_ids *
request_ids_create(const struct request_ids_options *options);
void
request_ids_destroy(struct request_ids *ids);

/** request_ids_set_members() - set the registered incarnations, including this
 * one. Earlier sets are stored for the retention time. */
void
request_ids_set_members(struct request_ids *ids, const char *const *members,
                        size_t n_members, uint64_t epoch, int64_t now_ms);

/** request_ids_owner() - current owner of an id; NULL without members. */
const char *
request_ids_owner(const struct request_ids *ids, const char *team,
                  const char *id);

/** request_ids_claim() - a request with an id came from a caller or was
 * forwarded by a gateway. Must not be called without the quorum lease: a
 * gateway that missed a change of the members could wrongly regard itself as
 * the owner of an id. */
void
request_ids_claim(struct request_ids *ids, const struct request_id *request,
                  int64_t now_ms, struct request_decision *decision);

/** request_ids_query_answered() - @peer replied to a REQUEST_QUERY or could
 * not be reached; the decision applies to all requests that wait for the id.
 */
void
request_ids_query_answered(struct request_ids *ids, const char *team,
                           const char *id, const char *peer,
                           const struct id_query_reply *reply, int64_t now_ms,
                           struct request_decision *decision);

/** request_ids_query() - handle a query of @querier, the current owner of the
 * id. If the id is unknown here, later requests with it are forwarded to
 * @querier. */
void
request_ids_query(struct request_ids *ids, const char *team, const char *id,
                  const char *querier, int64_t now_ms,
                  struct id_query_reply *reply);

/**
 * request_ids_finished() - the run of an id ended
 * @answer: complete answer to store for repeated requests, or NULL
 *
 * The decision is REQUEST_ANSWER for every request that waited, the one that
 * ran included. After OUTCOME_NOT_RUN the id may be run again.
 */
void
request_ids_finished(struct request_ids *ids, const char *team, const char *id,
                     enum outcome outcome, enum reason reason, GBytes *answer,
                     int64_t now_ms, struct request_decision *decision);

/** request_ids_stop_waiting() - the caller of @task no longer waits; the run
 * continues for the others. Returns whether any request still waits. */
bool
request_ids_stop_waiting(struct request_ids *ids, const char *team,
                         const char *id, uint64_t task);

/** request_ids_count() - number of stored entries. */
uint32_t
request_ids_count(const struct request_ids *ids);

#endif
