/* The operator's configuration as it lies in the store. */
#ifndef GG_CONFIG_DOCUMENT_H
#define GG_CONFIG_DOCUMENT_H

#include "routes.h"
#include "status.h"

/*
 * Reads a configuration; route_table_free frees it. STATUS_INVALID_JSON, or STATUS_INVALID_CONFIG
 * with a message that names the field.
 */
enum status config_document_parse(const char *text, size_t length, struct route_table **table,
				  struct error *err);

#endif
