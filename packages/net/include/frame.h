/* Length-prefixed frames on a connection: splits what arrives, and packs what is sent. */
#ifndef GG_FRAME_H
#define GG_FRAME_H

#include "net.h"

enum {
	FRAME_MAX_BYTES = 8 << 20,
	FRAME_HEADER_BYTES = 4 /* length of the content, big-endian */
};

/* Bytes of one connection that do not make a whole frame yet. */
struct frame_reader {
	GByteArray *pending;
};

/* Returns false to stop, as the reader or its connection is gone. */
typedef bool (*frame_callback)(void *context, const uint8_t *content, size_t length);

void frame_reader_init(struct frame_reader *reader);
void frame_reader_free(struct frame_reader *reader);

/*
 * Calls CALLBACK for each whole frame of what arrived so far. STATUS_INVALID_MESSAGE when a frame
 * is larger than FRAME_MAX_BYTES.
 */
enum status frame_read(struct frame_reader *reader, const char *bytes, size_t length,
		       frame_callback callback, void *context);

/* Queues one frame on CONN. */
void frame_send(struct net_conn *conn, const void *content, size_t length);

#endif
