/* The members record: a list of entries sorted by incarnation. */
#include "core/members.h"

#include <glib.h>
#include <string.h>

struct members_record *
members_record_create(uint64_t epoch)
{
    struct members_record *record = g_new0(struct members_record, 1);
    record->epoch = epoch;
    return record;
}

static struct members_entry
entry_copy(const struct members_entry *entry)
{
    struct members_entry copy = *entry;
    copy.incarnation = g_strdup(entry->incarnation);
    copy.name = g_strdup(entry->name);
    copy.address = g_strdup(entry->address);
    copy.dc = g_strdup(entry->dc);
    return copy;
}

static void
entry_clear(struct members_entry *entry)
{
    g_free(entry->incarnation);
    g_free(entry->name);
    g_free(entry->address);
    g_free(entry->dc);
}

struct members_record *
members_record_copy(const struct members_record *record)
{
    struct members_record *copy = members_record_create(record->epoch);
    copy->n_entries = record->n_entries;
    copy->entries = g_new0(struct members_entry, record->n_entries);
    for (size_t i = 0; i < record->n_entries; i++) {
        copy->entries[i] = entry_copy(&record->entries[i]);
    }
    return copy;
}

void
members_record_destroy(struct members_record *record)
{
    if (record == NULL) {
        return;
    }
    for (size_t i = 0; i < record->n_entries; i++) {
        entry_clear(&record->entries[i]);
    }
    g_free(record->entries);
    g_free(record);
}

struct members_entry *
members_record_find(const struct members_record *record,
                    const char *incarnation)
{
    for (size_t i = 0; i < record->n_entries; i++) {
        if (strcmp(record->entries[i].incarnation, incarnation) == 0) {
            return &record->entries[i];
        }
    }
    return NULL;
}

void
members_record_add(struct members_record *record,
                   const struct members_entry *entry)
{
    record->entries =
        g_renew(struct members_entry, record->entries, record->n_entries + 1);
    size_t at = record->n_entries;
    while (at > 0 && strcmp(record->entries[at - 1].incarnation,
                            entry->incarnation) > 0) {
        record->entries[at] = record->entries[at - 1];
        at--;
    }
    record->entries[at] = entry_copy(entry);
    record->n_entries++;
}

void
members_record_remove(struct members_record *record, const char *incarnation)
{
    struct members_entry *entry = members_record_find(record, incarnation);
    if (entry == NULL) {
        return;
    }
    entry_clear(entry);
    size_t at = (size_t)(entry - record->entries);
    memmove(entry, entry + 1,
            (record->n_entries - at - 1) * sizeof(struct members_entry));
    record->n_entries--;
}
