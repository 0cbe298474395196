/* Stored form of the configuration: a head that names hashed parts. */
#ifndef STORE_CONFIG_PARTS_H
#define STORE_CONFIG_PARTS_H

#include <glib.h>
#include <stdint.h>

#include "common/config.h"
#include "common/findings.h"

enum {
    /* Teams are divided among this many parts by a hash of their name, so
     * that a change of one team rewrites one small part. */
    CONFIG_TEAM_PARTS = 64,
    CONFIG_ID_BYTES = 16,
};

/**
 * struct config_head - description of one generation of the configuration
 * @generation: generation number
 * @id: random id of the apply that wrote the head
 * @previous: id of the head that it replaced; empty for the first
 * @written_s: wall time in seconds since 1970
 * @author: author of the change, for operators
 * @summary: one-line summary of the change, for operators
 * @parts: part name to part key, "teams.07" to "teams.07/<hash>"
 */
struct config_head {
    uint64_t generation;
    char *id;
    char *previous;
    int64_t written_s;
    char *author;
    char *summary;
    GTree *parts;
};

/** config_head_parse() - parse a head; NULL with findings on failure. */
struct config_head *
config_head_parse(const char *text, int64_t size_bytes,
                  struct findings *findings);

/** config_head_render() - JSON text of @head. */
char *
config_head_render(const struct config_head *head);

void
config_head_destroy(struct config_head *head);

/** config_text_map_create() - sorted map of strings that owns its keys and
 * values. */
GTree *
config_text_map_create(void);

/** config_part_key() - key of a part, relative to STORE_KEY_CONFIG_PARTS. */
char *
config_part_key(const char *name, const char *text);

/** config_split() - map of part names to part texts for @config. */
GTree *
config_split(const struct config *config);

/** config_part_keys() - map of part names to part keys for a head. */
GTree *
config_part_keys(GTree *texts);

/**
 * config_join() - build the configuration from a head and its parts
 * @texts: map of part names to part texts; each text is checked against the
 *         hash in the head; parts that the head does not name are ignored
 *
 * Returns: the configuration, or NULL with findings.
 */
struct config *
config_join(const struct config_head *head, GTree *texts,
            struct findings *findings);

#endif
