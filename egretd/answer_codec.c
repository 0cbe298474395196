#include "egretd/answer_codec.h"

/* GVariant tuple of HTTP status, content type, host and body. */
#define ANSWER_FORMAT "(ussay)"

GBytes *
answer_encode(const struct answer *answer)
{
    if (answer->status == 0 || answer->body == NULL) {
        return NULL;
    }
    GVariant *body = g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING,
                                              answer->body, TRUE);
    GVariant *tuple = g_variant_ref_sink(
        g_variant_new("(uss@ay)", answer->status,
                      answer->content_type == NULL ? "" : answer->content_type,
                      answer->host == NULL ? "" : answer->host, body));
    GBytes *bytes = g_variant_get_data_as_bytes(tuple);
    g_variant_unref(tuple);
    return bytes;
}

struct answer *
answer_decode(GBytes *bytes)
{
    GVariant *tuple = g_variant_ref_sink(
        g_variant_new_from_bytes(G_VARIANT_TYPE(ANSWER_FORMAT), bytes, FALSE));
    if (!g_variant_is_normal_form(tuple)) {
        g_variant_unref(tuple);
        return NULL;
    }
    struct answer *answer = answer_create(OUTCOME_DONE, REASON_NONE);
    GVariant *body = NULL;
    g_variant_get(tuple, "(uss@ay)", &answer->status, &answer->content_type,
                  &answer->host, &body);
    answer->body = g_variant_get_data_as_bytes(body);
    g_variant_unref(body);
    g_variant_unref(tuple);
    if (answer->content_type[0] == '\0') {
        g_clear_pointer(&answer->content_type, g_free);
    }
    return answer;
}
