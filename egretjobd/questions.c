#include "egretjobd/questions.h"

#include "egretjobd/records.h"
#include "egretjobd/store_path.h"
#include "platform/decode.h"
#include "platform/kv.h"

enum {
    CALL_TIMEOUT_MS = 1000,
};

struct questions {
    struct kv *kv;
};

/** struct question - one caller's question on its way */
struct question {
    struct questions *questions;
    char *id;
    enum job_state state;
    bool begun;
    struct job_reply reply;
};

struct questions *
questions_create(struct node *node)
{
    struct questions *questions = g_new0(struct questions, 1);
    questions->kv = kv_create(node->base, node->boot->store, CALL_TIMEOUT_MS,
                              store_path_any(node->path));
    return questions;
}

void
questions_destroy(struct questions *questions)
{
    if (questions == NULL) {
        return;
    }
    kv_destroy(questions->kv);
    g_free(questions);
}

static void
question_finish(struct question *question, int status, const char *body)
{
    struct job_answer answer = {.status = status, .body = body};
    question->reply.call(question->reply.ctx, &answer);
    g_free(question->id);
    g_free(question);
}

static void
on_job(void *ctx, const struct kv_result *result)
{
    struct question *question = ctx;
    if (result->outcome == KV_NOT_FOUND) {
        question_finish(question, 410, NULL);
        return;
    }
    if (result->outcome != KV_OK || result->items->len == 0) {
        question_finish(question, 503, NULL);
        return;
    }
    question_finish(question, 200,
                    encode_state(question->state, question->begun));
}

static void
on_progress(void *ctx, const struct kv_result *result)
{
    struct question *question = ctx;
    if (result->outcome != KV_OK && result->outcome != KV_NOT_FOUND) {
        question_finish(question, 503, NULL);
        return;
    }
    if (result->outcome == KV_OK && result->items->len > 0) {
        const struct kv_item *item = g_ptr_array_index(result->items, 0);
        question->begun = true;
        record_progress_state(item->value, item->value_bytes,
                              &question->state);
    }
    char *key = g_strconcat(RECORD_JOB_PREFIX, question->id, NULL);
    kv_get(question->questions->kv, key,
           (struct kv_done){.call = on_job, .ctx = question});
    g_free(key);
}

void
questions_state(struct questions *questions, const char *id,
                struct job_reply reply)
{
    struct question *question = g_new0(struct question, 1);
    question->questions = questions;
    question->id = g_strdup(id);
    question->reply = reply;
    char *key = g_strconcat(RECORD_PROGRESS_PREFIX, id, NULL);
    kv_get(questions->kv, key,
           (struct kv_done){.call = on_progress, .ctx = question});
    g_free(key);
}

static void
on_cancel_noted(void *ctx, const struct kv_result *result)
{
    struct question *question = ctx;
    if (result->outcome == KV_OK) {
        question_finish(question, 200, NULL);
    }
    else if (result->outcome == KV_CONFLICT) {
        question_finish(question, 410, NULL);
    }
    else {
        question_finish(question, result->outcome == KV_UNKNOWN ? 504 : 503,
                        NULL);
    }
}

static void
on_cancel_job(void *ctx, const struct kv_result *result)
{
    struct question *question = ctx;
    if (result->outcome == KV_NOT_FOUND) {
        question_finish(question, 410, NULL);
        return;
    }
    if (result->outcome != KV_OK || result->items->len == 0) {
        question_finish(question, 503, NULL);
        return;
    }
    const struct kv_item *item = g_ptr_array_index(result->items, 0);
    char *inbox_key = g_strconcat(RECORD_INBOX_PREFIX, question->id, NULL);
    struct kv_condition condition = {.key = item->key,
                                     .revision = item->revision};
    struct kv_put put = {.key = inbox_key, .value = INBOX_CANCEL};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = &put,
        .n_puts = 1,
    };
    kv_commit(question->questions->kv, &txn,
              (struct kv_done){.call = on_cancel_noted, .ctx = question});
    g_free(inbox_key);
}

void
questions_cancel(struct questions *questions, const char *id,
                 struct job_reply reply)
{
    struct question *question = g_new0(struct question, 1);
    question->questions = questions;
    question->id = g_strdup(id);
    question->reply = reply;
    char *key = g_strconcat(RECORD_JOB_PREFIX, id, NULL);
    kv_get(questions->kv, key,
           (struct kv_done){.call = on_cancel_job, .ctx = question});
    g_free(key);
}
