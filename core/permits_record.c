/* The permits record: a list of holdings sorted by incarnation. */
#include "core/permits.h"

#include <glib.h>
#include <string.h>

struct permits_record *
permits_record_create(void)
{
    return g_new0(struct permits_record, 1);
}

struct permits_record *
permits_record_copy(const struct permits_record *record)
{
    struct permits_record *copy = permits_record_create();
    copy->write = g_strdup(record->write);
    copy->generation = record->generation;
    copy->limit = record->limit;
    copy->n_holdings = record->n_holdings;
    copy->holdings = g_new0(struct permits_holding, record->n_holdings);
    for (size_t i = 0; i < record->n_holdings; i++) {
        copy->holdings[i].incarnation =
            g_strdup(record->holdings[i].incarnation);
        copy->holdings[i].held = record->holdings[i].held;
    }
    return copy;
}

void
permits_record_destroy(struct permits_record *record)
{
    if (record == NULL) {
        return;
    }
    for (size_t i = 0; i < record->n_holdings; i++) {
        g_free(record->holdings[i].incarnation);
    }
    g_free(record->holdings);
    g_free(record->write);
    g_free(record);
}

/* Index of the first holding that does not sort before @incarnation. */
static size_t
find_place(const struct permits_record *record, const char *incarnation)
{
    size_t at = 0;
    while (at < record->n_holdings &&
           strcmp(record->holdings[at].incarnation, incarnation) < 0) {
        at++;
    }
    return at;
}

static bool
names_at(const struct permits_record *record, size_t at,
         const char *incarnation)
{
    return at < record->n_holdings &&
           strcmp(record->holdings[at].incarnation, incarnation) == 0;
}

uint32_t
permits_record_held(const struct permits_record *record,
                    const char *incarnation)
{
    size_t at = find_place(record, incarnation);
    return names_at(record, at, incarnation) ? record->holdings[at].held : 0;
}

static void
remove_at(struct permits_record *record, size_t at)
{
    g_free(record->holdings[at].incarnation);
    record->n_holdings--;
    memmove(&record->holdings[at], &record->holdings[at + 1],
            (record->n_holdings - at) * sizeof(struct permits_holding));
}

static void
insert_at(struct permits_record *record, size_t at, const char *incarnation,
          uint32_t held)
{
    record->holdings = g_renew(struct permits_holding, record->holdings,
                               record->n_holdings + 1);
    memmove(&record->holdings[at + 1], &record->holdings[at],
            (record->n_holdings - at) * sizeof(struct permits_holding));
    record->holdings[at] = (struct permits_holding){
        .incarnation = g_strdup(incarnation),
        .held = held,
    };
    record->n_holdings++;
}

void
permits_record_set(struct permits_record *record, const char *incarnation,
                   uint32_t held)
{
    size_t at = find_place(record, incarnation);
    bool named = names_at(record, at, incarnation);
    if (named && held == 0) {
        remove_at(record, at);
    }
    else if (named) {
        record->holdings[at].held = held;
    }
    else if (held > 0) {
        insert_at(record, at, incarnation, held);
    }
}

uint64_t
permits_record_sum(const struct permits_record *record)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < record->n_holdings; i++) {
        sum += record->holdings[i].held;
    }
    return sum;
}
