/* Collects the problems found in a document, with their location. */
#ifndef COMMON_FINDINGS_H
#define COMMON_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

/**
 * struct finding - one problem in a document
 * @file: name of the document
 * @path: location in the document, such as "$.teams[2].share_permille"
 * @reason: what is wrong and what is expected
 */
struct finding {
    char *file;
    char *path;
    char *reason;
};

struct findings;

struct findings *
findings_create(void);
void
findings_destroy(struct findings *findings);

/** findings_add() - record one problem; @reason is a printf format. */
void
findings_add(struct findings *findings, const char *file, const char *path,
             const char *reason, ...) __attribute__((format(printf, 4, 5)));

/** findings_count() - number of problems recorded. */
size_t
findings_count(const struct findings *findings);

/** findings_get() - problem @i in order of recording; owned by @findings. */
const struct finding *
findings_get(const struct findings *findings, size_t i);

/** findings_print() - write "file: path: reason" lines to @stream. */
void
findings_print(const struct findings *findings, FILE *stream);

#endif
