/* The configuration as it is stored: a head and the parts that it names. */
#ifndef STORE_CONFIG_PARTS_H
#define STORE_CONFIG_PARTS_H

#include <glib.h>
#include <stdint.h>

#include "common/config.h"
#include "common/findings.h"

enum {
    /* Teams are spread over this many parts by hash of their name. */
    CONFIG_TEAM_PARTS = 64,
    CONFIG_ID_BYTES = 16,
};

/**
 * struct config_head - what names one generation
 * @generation: its number
 * @id: names the apply that wrote it
 * @previous: id of the head it replaced; empty for the first
 * @written_s: wall time in seconds since 1970
 * @author: who wrote it, for operators
 * @summary: what it changed, one line for operators
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

/** config_head_parse() - head out of its text; NULL and findings. */
struct config_head *
config_head_parse(const char *text, int64_t size_bytes,
                  struct findings *findings);

/** config_head_render() - JSON text of @head. */
char *
config_head_render(const struct config_head *head);

void
config_head_destroy(struct config_head *head);

/** config_text_map_create() - sorted table of strings that owns both sides. */
GTree *
config_text_map_create(void);

/** config_part_key() - key of a part below STORE_KEY_CONFIG_PARTS. */
char *
config_part_key(const char *name, const char *text);

/** config_split() - part names to part texts. */
GTree *
config_split(const struct config *config);

/** config_part_keys() - part names to part keys, for a head. */
GTree *
config_part_keys(GTree *texts);

/**
 * config_join() - configuration out of a head and its parts
 * @texts: part names to part texts; each is checked against the hash in
 *         the head; further ones are ignored
 *
 * Returns: the configuration, or NULL and findings.
 */
struct config *
config_join(const struct config_head *head, GTree *texts,
            struct findings *findings);

#endif
