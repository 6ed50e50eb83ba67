/* Parser of the operator's configuration document, which is kept in the store. */
#ifndef GG_CONFIG_DOCUMENT_H
#define GG_CONFIG_DOCUMENT_H

#include "routes.h"
#include "status.h"

/*
 * Parses a configuration. The caller frees TABLE with route_table_free. Returns
 * STATUS_INVALID_JSON, or STATUS_INVALID_CONFIG with a message that names the field.
 */
enum status config_document_parse(const char *text, size_t length, struct route_table **table,
				  struct error *err);

/* Returns the version of a configuration, or 0 when it has no valid one. Checks nothing else. */
uint64_t config_document_version(const char *text, size_t length);

#endif
