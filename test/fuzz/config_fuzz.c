#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Aborts if a new replica rejects a snapshot of REPLICA, or then has a newer version than REPLICA
 * or the same version with a different document. An older version is allowed: the snapshot holds
 * the state of the stream, and REPLICA may have adopted a newer one from a peer. */
static void check_snapshot(const struct config_replica *replica)
{
	char *snapshot = config_format_snapshot(replica, 0);
	struct config_replica *restored = config_replica_new();
	struct ident id;

	if (snapshot) {
		uint64_t next = config_next_offset(replica);

		config_replica_expire_below(restored, next);
		if (config_replica_apply(restored, next, snapshot, strlen(snapshot), &id, NULL) !=
			    CONFIG_EFFECT_SNAPSHOT ||
		    config_version(restored) > config_version(replica))
			abort();
		if (config_version(restored) == config_version(replica) &&
		    !json_equal(config_document(restored), config_document(replica)))
			abort();
	}
	config_replica_free(restored);
	free(snapshot);
}

/* Aborts unless DOCUMENT, which a replica accepted, is valid. Also computes a server's capacity
 * from it, which must not crash. */
static void check_document(const json_t *document)
{
	const struct config_agent agent = {.server = "s", .host = "h", .zone = "z"};

	if (config_validate(document, NULL) != STATUS_OK)
		abort();
	config_capacity(document, &agent, 8, INT64_C(1796400000000), NULL);
}

/*
 * Checks that no sequence of records, peer documents and expirations crashes a replica, decreases
 * its version or makes its effective document invalid, and that a snapshot of the replica can be
 * restored. Each line of the input is one record of the stream, except that a line that begins with
 * '!' is a document that a peer sends as the next version, and a line that begins with '?' raises
 * the next offset by two and expires all records below it.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct config_replica *replica = config_replica_new();
	const char *line = (const char *)data;
	const char *end = line + size;
	uint64_t offset = 0;
	uint64_t version = 0;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));
		size_t length = (size_t)((newline ? newline : end) - line);
		struct ident id;
		struct error err;

		if (length > 0 && *line == '!') {
			char *text = g_strndup(line + 1, length - 1);

			config_replica_adopt(replica, version + 1, text, &err);
			g_free(text);
		} else if (length > 0 && *line == '?') {
			config_replica_expire_below(replica, offset += 2);
		} else {
			config_replica_apply(replica, offset++, line, length, &id, &err);
		}
		if (config_version(replica) < version)
			abort();
		if (config_version(replica) > version)
			check_document(config_document(replica));
		version = config_version(replica);
		line += length + 1;
	}
	check_snapshot(replica);
	config_replica_free(replica);
	return 0;
}
